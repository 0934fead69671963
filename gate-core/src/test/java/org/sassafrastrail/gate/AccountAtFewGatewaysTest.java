package org.sassafrastrail.gate;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against FAIR: the fewer gateways the callers of an account came to, the less of its share it was served.
 *
 * <p>{@code -Dshares.seeds=3} plays every fleet with every account and this many seeds, in place of one row each.
 */
class AccountAtFewGatewaysTest {

    /** A backlogged account is served its max-min fair share but for a fifth. */
    private static final double MIN_SHARE = 0.8;

    /** The least share that an account must be served, whatever happens to gateways. */
    private static final double MIN_SHARE_UNDER_FAILURES = 0.5;

    private static final int[][] FLEETS = {{5, 13}, {5, 8}, {22, 28}, {29, 37}, {33, 28}, {100, 42}};
    private static final double[] DEMANDS = {5, 1, 0.5};
    private static final long SEEDS = Long.getLong("shares.seeds", 0);
    private static final FewGatewaysScenario LARGE = new FewGatewaysScenario(33, 28, 1, 5, 1);

    static Stream<FewGatewaysScenario> scenarios() {
        return SEEDS > 0
                ? Stream.of(FLEETS).flatMap(AccountAtFewGatewaysTest::allScenarios)
                : Stream.of(
                        new FewGatewaysScenario(5, 13, 1, 1, 1),
                        new FewGatewaysScenario(5, 8, 2, 5, 1),
                        new FewGatewaysScenario(22, 28, 1, 5, 1),
                        new FewGatewaysScenario(29, 37, 14, 0.5, 1),
                        new FewGatewaysScenario(33, 28, 4, 1, 1));
    }

    private static Stream<FewGatewaysScenario> allScenarios(int[] fleet) {
        return IntStream.of(1, 2, 4, fleet[0] / 2).distinct().boxed().flatMap(gateways -> DoubleStream.of(DEMANDS)
                .boxed()
                .flatMap(demand -> LongStream.rangeClosed(1, SEEDS)
                        .mapToObj(seed -> new FewGatewaysScenario(fleet[0], fleet[1], gateways, demand, seed))));
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void accountIsServedItsShareWhereverItsCallersCome(FewGatewaysScenario scenario) {
        assertShares(scenario, fleet -> {}, MIN_SHARE);
    }

    @Test
    void sharesHoldWhileReportsAreLate() {
        assertShares(LARGE, fleet -> fleet.setReportDelay(250), MIN_SHARE_UNDER_FAILURES);
    }

    @Test
    void sharesHoldWhileGatewayOfNarrowAccountHasNoLinks() {
        assertShares(LARGE, fleet -> fleet.cutLinks(1, 6, 9), MIN_SHARE_UNDER_FAILURES);
    }

    @Test
    void sharesHoldWhileFourGatewaysRestart() {
        assertShares(
                LARGE,
                fleet -> List.of(7, 13, 19, 25).forEach(gateway -> fleet.restart(gateway, 6, 8.5)),
                MIN_SHARE_UNDER_FAILURES);
    }

    private static void assertShares(
            FewGatewaysScenario scenario, Consumer<SimulatedFleet> disturbance, double minShare) {
        FewGatewaysScenario.Result result = scenario.run(disturbance);
        System.out.printf(
                Locale.ROOT,
                "%s: narrow %.2f, wide %.2f, small %.2f, served %.1f million tokens%n",
                scenario,
                result.narrow(),
                result.wide(),
                result.small(),
                result.served() / 1e6);
        assertThat(List.of(result.narrow(), result.wide(), result.small()))
                .allSatisfy(share -> assertThat(share).isGreaterThanOrEqualTo(minShare));
    }
}

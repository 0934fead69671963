package org.sassafrastrail.gate;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against upstreams that begin less in time the more is requested of them, and against small accounts that lose their
 * shares to one that asks for seven times its own. CI doesn't play it, because it fails (KNOWN-RED.txt); {@code
 * -Dheavy.seeds=1} plays it with this many seeds.
 */
@EnabledIfSystemProperty(named = "heavy.seeds", matches = "\\d+")
class HeavyAccountTest {

    private static final int[][] FLEETS = {{5, 8}, {23, 13}, {100, 16}};
    private static final List<Double> LOADS = List.of(1.0, 2.0, 4.0);
    private static final double MIN_BEGUN_IN_TIME = 0.97;
    private static final double MIN_SHARE = 0.8;
    private static final long SEEDS = Long.getLong("heavy.seeds", 0);

    static Stream<List<HeavyAccountScenario>> loadsOfFleets() {
        return Stream.of(FLEETS)
                .flatMap(fleet -> LongStream.rangeClosed(1, SEEDS).mapToObj(seed -> LOADS.stream()
                        .map(load -> new HeavyAccountScenario(fleet[0], fleet[1], load, seed))
                        .toList()));
    }

    @ParameterizedTest
    @MethodSource("loadsOfFleets")
    void upstreamsBeginAsMuchInTimeAtEachLoadAndSmallAccountsKeepTheirShares(List<HeavyAccountScenario> loads) {
        List<HeavyAccountScenario.Result> results =
                loads.stream().map(HeavyAccountTest::played).toList();
        long best = results.stream()
                .mapToLong(HeavyAccountScenario.Result::begunInTime)
                .max()
                .orElseThrow();
        assertThat(results).allSatisfy(result -> {
            assertThat((double) result.begunInTime() / best).isGreaterThanOrEqualTo(MIN_BEGUN_IN_TIME);
            assertThat(result.small()).isGreaterThanOrEqualTo(MIN_SHARE);
        });
    }

    private static HeavyAccountScenario.Result played(HeavyAccountScenario scenario) {
        HeavyAccountScenario.Result result = scenario.run();
        System.out.printf(
                Locale.ROOT,
                "%s: begun in time %.2f million tokens, small %.2f%n",
                scenario,
                result.begunInTime() / 1e6,
                result.small());
        return result;
    }
}

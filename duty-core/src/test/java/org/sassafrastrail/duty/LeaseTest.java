package org.sassafrastrail.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against two gateways that act as the holder of a duty, and against a duty without a holder. */
class LeaseTest {

    private static final Duration TAKEOVER_LIMIT = Duration.ofMillis(4500);

    private final SimulatedHolders gateways = new SimulatedHolders(5);

    @AfterEach
    void tokensRiseAndEachBelongsToOneGateway() {
        assertThat(gateways.calls).extracting(SimulatedHolders.Call::token).isSorted();
        Map<Long, Long> holders = gateways.calls.stream()
                .collect(Collectors.groupingBy(
                        SimulatedHolders.Call::token,
                        TreeMap::new,
                        Collectors.collectingAndThen(Collectors.toList(), calls -> calls.stream()
                                .map(SimulatedHolders.Call::gateway)
                                .distinct()
                                .count())));
        assertThat(holders.values()).allMatch(count -> count == 1);
    }

    @Test
    void allStartAtOnceAndOneHoldsTheLeaseWithFewCalls() {
        SimulatedHolders many = new SimulatedHolders(360);
        many.run(Duration.ofSeconds(5));
        int startCalls = many.storeCalls;
        many.run(Duration.ofSeconds(30));

        assertThat(many.calls).extracting(SimulatedHolders.Call::gateway).containsOnly(many.holder());
        assertThat(startCalls).isLessThan(20);
        assertThat(many.storeCalls - startCalls).isBetween(28, 31);
    }

    @Test
    void killedHolderIsReplaced() {
        int first = startedHolder();
        gateways.paused.add(first);
        gateways.run(TAKEOVER_LIMIT);

        assertThat(gateways.holder()).isNotEqualTo(first);
    }

    @Test
    void resumedHolderDoesNotActWithItsOldToken() {
        int first = startedHolder();
        gateways.paused.add(first);
        gateways.run(Duration.ofSeconds(5));
        int callsBefore = gateways.calls.size();
        gateways.paused.clear();
        gateways.run(Duration.ofSeconds(5));

        assertThat(gateways.calls.subList(callsBefore, gateways.calls.size()))
                .extracting(SimulatedHolders.Call::gateway)
                .doesNotContain(first);
    }

    @Test
    void holderWithoutTheStoreStopsBeforeItIsReplaced() {
        int first = startedHolder();
        gateways.cutFromStore.add(first);
        gateways.run(TAKEOVER_LIMIT.plus(SimulatedHolders.TIMES.lease()));

        assertThat(gateways.holder()).isNotEqualTo(first);
    }

    @Test
    void holderWithoutPeersKeepsTheLease() {
        int first = startedHolder();
        gateways.cutFromPeers.add(first);
        gateways.run(Duration.ofSeconds(20));

        assertThat(gateways.holder()).isEqualTo(first);
    }

    @Test
    void writePerformedLateGivesNoSecondHolder() {
        int first = startedHolder();
        gateways.paused.add(first);
        int second = (first + 1) % gateways.names.size();
        for (int other = 0; other < gateways.names.size(); other++) {
            if (other != second) {
                gateways.paused.add(other);
            }
        }
        gateways.writeWithoutAnswerBy = second;
        gateways.run(TAKEOVER_LIMIT);
        gateways.paused.clear();
        gateways.paused.add(first);
        gateways.performLateWrite();
        gateways.run(Duration.ofSeconds(10));

        assertThat(gateways.holder()).isNotIn(first, second);
    }

    @Test
    void storeFromAnOlderCopyLeadsToHigherTokens() {
        int first = startedHolder();
        Optional<LeaseRow> copy = gateways.row();
        long version = gateways.version();
        gateways.paused.add(first);
        gateways.run(TAKEOVER_LIMIT);
        gateways.restore(copy, version);
        gateways.run(Duration.ofSeconds(10));

        long last = gateways.calls.get(gateways.calls.size() - 1).token();
        assertThat(last).isGreaterThan(1L << 32);
    }

    /** Guards against a token below that of a lost term: the copy names a gateway that had lost the lease since. */
    @Test
    void holderByTheCopyOfTheStoreTakesANewToken() {
        int first = startedHolder();
        Optional<LeaseRow> copy = gateways.row();
        long version = gateways.version();
        gateways.cutFromStore.add(first);
        gateways.cutFromPeers.add(first);
        gateways.run(TAKEOVER_LIMIT);
        gateways.cutFromStore.clear();
        gateways.cutFromPeers.clear();
        gateways.restore(copy, version);
        gateways.run(Duration.ofSeconds(12));

        long last = gateways.calls.get(gateways.calls.size() - 1).token();
        assertThat(last).isGreaterThan(1L << 32);
    }

    /** A holder that can't reach the API gives up, and another gateway need not wait for its lease to expire. */
    @Test
    void holderWithoutTheApiIsReplacedSoon() {
        int first = startedHolder();
        gateways.giveUp(first);
        gateways.run(Duration.ofSeconds(1));

        assertThat(gateways.holder()).isNotEqualTo(first);
    }

    @Test
    void gatewayThatGivesUpActsNoMore() {
        Instant start = Instant.ofEpochSecond(1_800_000_000);
        DutyHolder self = new DutyHolder("own", 1);
        Lease held = Lease.unknown(self, SimulatedHolders.TIMES, start)
                .written(new LeaseRow(self, new FencingToken(1), 0, 0, false), 1, start);
        Lease released = held.written(held.release(7).orElseThrow().row(), 2, start);

        assertThat(held.isValid(start)).isTrue();
        assertThat(released.isValid(start)).isFalse();
        assertThat(released.next(start.plusSeconds(5), 7, Duration.ZERO, 0)).isInstanceOf(LeaseStep.Wait.class);
    }

    private int startedHolder() {
        gateways.run(Duration.ofSeconds(5));
        return gateways.holder();
    }
}

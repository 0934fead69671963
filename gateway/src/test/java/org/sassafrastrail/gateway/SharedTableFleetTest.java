package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how recent the tables of a fleet are of which two gateways in each failure domain call the store. */
class SharedTableFleetTest {

    private static final Duration BOUND = Duration.ofSeconds(2);

    private static List<Integer> watchers(SharedTableFleet fleet) {
        return fleet.watchers();
    }

    @ParameterizedTest
    @CsvSource({"33, 8", "360, 30"})
    void fewGatewaysCallTheStoreWhileNothingChanges(int gateways, int maximumCallsPerSecond) {
        SharedTableFleet fleet = new SharedTableFleet(gateways);
        fleet.run(Duration.ofSeconds(5));
        long before = fleet.calls();
        fleet.run(Duration.ofSeconds(10));
        assertThat((fleet.calls() - before) / 10.0).isLessThan(maximumCallsPerSecond);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 33, 360})
    void changeIsKnownEverywhereAtOnce(int gateways) {
        SharedTableFleet fleet = new SharedTableFleet(gateways);
        fleet.run(Duration.ofSeconds(5));
        assertThat(fleet.timeUntilKnown(gateway -> true)).isLessThan(Duration.ofMillis(300));
    }

    /** Guards against gateways that stay with what the store has lost, because its versions are above all that it issues. */
    @ParameterizedTest
    @ValueSource(ints = {3, 33, 360})
    void restoredStoreIsKnownEverywhereInTime(int gateways) {
        SharedTableFleet fleet = new SharedTableFleet(gateways);
        fleet.run(Duration.ofSeconds(5));
        IntStream.range(0, 5).forEach(change -> fleet.timeUntilKnown(gateway -> true));
        assertThat(fleet.timeUntilRestoreIsKnown(gateway -> true)).isLessThan(BOUND);
    }

    /** Guards against followers that wait for watchers which never see the new era. */
    @Test
    void restoredStoreIsKnownInTimeWhileTheWatchersAreCutOffFromIt() {
        SharedTableFleet fleet = new SharedTableFleet(33);
        fleet.run(Duration.ofSeconds(5));
        IntStream.range(0, 5).forEach(change -> fleet.timeUntilKnown(gateway -> true));
        List<Integer> cut = watchers(fleet);
        cut.forEach(fleet::cutFromStore);
        assertThat(fleet.timeUntilRestoreIsKnown(gateway -> !cut.contains(gateway)))
                .isLessThan(BOUND);
    }

    /** Guards against an old configuration in force where the gateways that call the store have ended. */
    @Test
    void changeIsKnownInTimeAfterTheWatchersWereKilled() {
        SharedTableFleet fleet = new SharedTableFleet(33);
        fleet.run(Duration.ofSeconds(5));
        List<Integer> killed = watchers(fleet);
        killed.forEach(fleet::kill);
        assertThat(fleet.timeUntilKnown(gateway -> !killed.contains(gateway))).isLessThan(BOUND);
    }

    @Test
    void changeIsKnownInTimeWhileTheWatchersAreCutOffFromTheStore() {
        SharedTableFleet fleet = new SharedTableFleet(33);
        fleet.run(Duration.ofSeconds(5));
        List<Integer> cut = watchers(fleet);
        cut.forEach(fleet::cutFromStore);
        assertThat(fleet.timeUntilKnown(gateway -> !cut.contains(gateway))).isLessThan(BOUND);
    }

    @Test
    void changeIsKnownInTimeWhenNothingOfTheWatchersArrives() {
        SharedTableFleet fleet = new SharedTableFleet(33);
        fleet.run(Duration.ofSeconds(5));
        watchers(fleet).forEach(fleet::cutToPeers);
        assertThat(fleet.timeUntilKnown(gateway -> true)).isLessThan(BOUND);
    }

    /** Guards against an old table that a watcher passes on when it wakes up, and that looks recent. */
    @Test
    void watcherThatWakesUpDoesNotMakeAnOldTableLookRecent() {
        SharedTableFleet fleet = new SharedTableFleet(33);
        fleet.run(Duration.ofSeconds(5));
        List<Integer> paused = watchers(fleet);
        paused.forEach(fleet::pause);
        fleet.run(Duration.ofSeconds(3));
        paused.forEach(fleet::resumeWithOldResponse);
        assertThat(fleet.timeUntilKnown(gateway -> true)).isLessThan(BOUND);
    }

    @Test
    void lostUpdateIsMadeUpFor() {
        SharedTableFleet fleet = new SharedTableFleet(33);
        fleet.run(Duration.ofSeconds(5));
        int follower = IntStream.range(0, 33)
                .filter(gateway -> !watchers(fleet).contains(gateway))
                .findFirst()
                .orElseThrow();
        fleet.loseUpdatesTo(follower);
        assertThat(fleet.timeUntilKnown(gateway -> true)).isLessThan(BOUND);
    }
}

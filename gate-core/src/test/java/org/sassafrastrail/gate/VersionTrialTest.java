package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePSet;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how many requests a new version gets while a move to it goes on, and when it is rejected. */
class VersionTrialTest {

    private static final Route ROUTE = GatewayDriver.route("plain", GatewayDriver.SERVICE, true, false, 1);
    private static final VersionMove MOVE = new VersionMove(GatewayDriver.SERVICE, "v2");
    private static final Duration FAST = Duration.ofMillis(20);
    private static final Duration SLOW = Duration.ofMillis(200);

    private final GatewayDriver gateway = new GatewayDriver();

    @BeforeEach
    void startMove() {
        gateway.register(GatewayDriver.upstream("old", GatewayDriver.SERVICE));
        gateway.handle(new GatewayEvent.VersionMovesChanged(HashTreePSet.singleton(MOVE)));
        gateway.register(newVersion());
    }

    private static Upstream newVersion() {
        Upstream old = GatewayDriver.upstream("new", GatewayDriver.SERVICE);
        return new Upstream(
                old.identifier(),
                old.target(),
                old.host(),
                old.port(),
                old.domain(),
                "v2",
                old.slots(),
                false,
                Duration.ZERO,
                1,
                1);
    }

    /** Sends requests one after another and returns how many the new version got. */
    private long serve(long from, long requests, AttemptResult resultOfNew, Duration timeOfNew) {
        return LongStream.range(from, from + requests)
                .filter(number -> {
                    boolean isNew = GatewayDriver.dispatchedTo(gateway.arrive(number, ROUTE))
                            .equals(Optional.of("new"));
                    gateway.advance(isNew ? timeOfNew : FAST);
                    gateway.handle(new GatewayEvent.ResponseStarted(number, 1, true, Optional.empty()));
                    gateway.endAttempt(number, 1, isNew ? resultOfNew : new AttemptResult.Delivered());
                    return isNew;
                })
                .count();
    }

    @Test
    void goodVersionGetsItsShareOnly() {
        assertThat(serve(0, 1000, new AttemptResult.Delivered(), FAST)).isBetween(80L, 105L);
        assertThat(gateway.state().versionTrials().get(MOVE.target()).rejected())
                .isFalse();
    }

    @Test
    void slowVersionIsRejected() {
        assertThat(serve(0, 200, new AttemptResult.Delivered(), SLOW)).isLessThan(10);
        assertThat(serve(200, 200, new AttemptResult.Delivered(), SLOW)).isZero();
    }

    @Test
    void failingVersionIsRejected() {
        assertThat(serve(0, 200, new AttemptResult.Failed(), FAST)).isLessThan(10);
    }

    @Test
    void versionRejectedByAnotherGatewayGetsNoRequests() {
        gateway.handle(new GatewayEvent.VersionRejected(MOVE));
        assertThat(serve(0, 100, new AttemptResult.Delivered(), FAST)).isZero();
    }

    @Test
    void rejectionOutlastsOrder() {
        gateway.handle(new GatewayEvent.VersionRejected(MOVE));
        gateway.handle(new GatewayEvent.VersionMovesChanged(HashTreePSet.empty()));
        assertThat(serve(0, 100, new AttemptResult.Delivered(), FAST)).isZero();
    }

    @Test
    void rejectionIsRecordedOnce() {
        List<GatewayAction> actions = LongStream.range(0, 100)
                .boxed()
                .flatMap(number -> {
                    boolean isNew = GatewayDriver.dispatchedTo(gateway.arrive(number, ROUTE))
                            .equals(Optional.of("new"));
                    gateway.endAttempt(number, 1, isNew ? new AttemptResult.Lost() : new AttemptResult.Delivered());
                    return gateway.advance(FAST).stream();
                })
                .filter(GatewayAction.RejectVersion.class::isInstance)
                .toList();
        assertThat(actions).containsExactly(new GatewayAction.RejectVersion(MOVE));
    }
}

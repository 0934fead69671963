package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.PVector;

/**
 * The state of an upstream at this gateway.
 *
 * @param upstream its latest registry entry
 * @param registered whether it is currently registered
 * @param load the load that this gateway puts on it
 * @param coldPeriod the time in which it is cold
 * @param health what the attempts of this gateway show of its health
 * @param prefillRate how fast it prefills prompts
 * @param unknownLoad its requests that no gateway is known to have sent
 */
record UpstreamState(
        Upstream upstream,
        boolean registered,
        GatewayLoad load,
        ColdPeriod coldPeriod,
        UpstreamHealth health,
        PrefillRate prefillRate,
        UnknownLoad unknownLoad) {

    static UpstreamState discovered(Upstream upstream, PrefillRate assumedRate, Instant now) {
        return new UpstreamState(
                upstream,
                true,
                GatewayLoad.NONE,
                ColdPeriod.starting(upstream.coldRemaining(), now),
                UpstreamHealth.SOUND,
                assumedRate,
                UnknownLoad.NONE);
    }

    UpstreamState reregistered(Upstream entry, Instant now) {
        ColdPeriod next =
                entry.coldRemaining().isZero() ? coldPeriod : coldPeriod.restarted(entry.coldRemaining(), now);
        return new UpstreamState(entry, true, load, next, health, prefillRate, unknownLoad);
    }

    UpstreamState unregistered() {
        return new UpstreamState(upstream, false, load, coldPeriod, health, prefillRate, unknownLoad);
    }

    UpstreamState dispatched(Attempt attempt, Instant now) {
        GatewayLoad added = load.plus(new GatewayLoad(1, attempt.prefillTokens()));
        return new UpstreamState(
                upstream, registered, added, coldPeriod.dispatched(now), health, prefillRate, unknownLoad);
    }

    UpstreamState prefillFinished(Attempt attempt) {
        return with(load.minus(new GatewayLoad(0, attempt.prefillTokens())));
    }

    UpstreamState attemptEnded(Attempt attempt) {
        return with(load.minus(new GatewayLoad(1, attempt.prefilling() ? attempt.prefillTokens() : 0)));
    }

    private UpstreamState with(GatewayLoad next) {
        return new UpstreamState(upstream, registered, next, coldPeriod, health, prefillRate, unknownLoad);
    }

    UpstreamState succeeded() {
        return health.consecutiveFailures() == 0 ? this : with(health.succeeded());
    }

    UpstreamState failed() {
        return with(health.failed());
    }

    /** Sets when the ejection ends, {@link Instant#MIN} for none, and restarts the count of failures. */
    UpstreamState withEjectedUntil(Instant until) {
        return with(new UpstreamHealth(0, until));
    }

    private UpstreamState with(UpstreamHealth next) {
        return new UpstreamState(upstream, registered, load, coldPeriod, next, prefillRate, unknownLoad);
    }

    /** Learns from the time at which the response of an attempt started. A cold upstream says nothing about later. */
    UpstreamState withPrefillTime(Attempt attempt, Instant now) {
        return isCold(now) || attempt.prefillTokens() == 0
                ? this
                : with(prefillRate.withResponse(
                        attempt.pendingTokens() + attempt.prefillTokens(),
                        Duration.between(attempt.dispatchedAt(), now)));
    }

    private UpstreamState with(PrefillRate next) {
        return new UpstreamState(upstream, registered, load, coldPeriod, health, next, unknownLoad);
    }

    UpstreamState with(UnknownLoad next) {
        return new UpstreamState(upstream, registered, load, coldPeriod, health, prefillRate, next);
    }

    int running() {
        return load.running();
    }

    long pendingPrefillTokens() {
        return load.pendingPrefillTokens();
    }

    boolean isCold(Instant now) {
        return !coldPeriod.isOver(now);
    }

    boolean isEjected(Instant now) {
        return health.isEjected(now);
    }

    PVector<Instant> recentColdDispatches(Instant now) {
        return coldPeriod.recentDispatches(now);
    }

    boolean isUnused() {
        return !registered && running() == 0;
    }
}

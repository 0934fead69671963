package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The state of an upstream at this gateway.
 *
 * @param upstream its latest registry entry
 * @param registered whether it is currently registered
 * @param running the number of this gateway's requests that it is running
 * @param pendingPrefillTokens the estimated tokens of this gateway's requests that it still has to prefill
 * @param coldUntil when it stops being cold
 * @param coldDispatches the times of dispatches to it within the last second while it is cold
 * @param consecutiveFailures the number of attempts without a usable response since the last one with a response or
 *     since the last ejection; a response with an error status counts as a response, and declined requests are not
 *     counted
 * @param ejectedUntil when its ejection for failures ends, {@link Instant#MIN} if it is not ejected
 * @param prefillRate how fast it prefills prompts
 * @param unknownLoad its requests that no gateway is known to have sent
 */
record UpstreamState(
        Upstream upstream,
        boolean registered,
        int running,
        long pendingPrefillTokens,
        Instant coldUntil,
        PVector<Instant> coldDispatches,
        int consecutiveFailures,
        Instant ejectedUntil,
        PrefillRate prefillRate,
        UnknownLoad unknownLoad) {

    private static final Duration COLD_WINDOW = Duration.ofSeconds(1);

    static UpstreamState discovered(Upstream upstream, PrefillRate assumedRate, Instant now) {
        return new UpstreamState(
                upstream,
                true,
                0,
                0,
                now.plus(upstream.coldRemaining()),
                TreePVector.empty(),
                0,
                Instant.MIN,
                assumedRate,
                UnknownLoad.NONE);
    }

    UpstreamState reregistered(Upstream entry, Instant now) {
        boolean coldAgain = !entry.coldRemaining().isZero();
        return new UpstreamState(
                entry,
                true,
                running,
                pendingPrefillTokens,
                coldAgain ? now.plus(entry.coldRemaining()) : coldUntil,
                coldDispatches,
                consecutiveFailures,
                ejectedUntil,
                prefillRate,
                unknownLoad);
    }

    UpstreamState unregistered() {
        return new UpstreamState(
                upstream,
                false,
                running,
                pendingPrefillTokens,
                coldUntil,
                coldDispatches,
                consecutiveFailures,
                ejectedUntil,
                prefillRate,
                unknownLoad);
    }

    UpstreamState dispatched(Attempt attempt, Instant now) {
        PVector<Instant> recent = isCold(now) ? recentColdDispatches(now).plus(now) : TreePVector.empty();
        return new UpstreamState(
                upstream,
                registered,
                running + 1,
                pendingPrefillTokens + attempt.prefillTokens(),
                coldUntil,
                recent,
                consecutiveFailures,
                ejectedUntil,
                prefillRate,
                unknownLoad);
    }

    UpstreamState prefillFinished(Attempt attempt) {
        return new UpstreamState(
                upstream,
                registered,
                running,
                pendingPrefillTokens - attempt.prefillTokens(),
                coldUntil,
                coldDispatches,
                consecutiveFailures,
                ejectedUntil,
                prefillRate,
                unknownLoad);
    }

    UpstreamState attemptEnded(Attempt attempt) {
        long pendingTokens =
                attempt.prefilling() ? pendingPrefillTokens - attempt.prefillTokens() : pendingPrefillTokens;
        return new UpstreamState(
                upstream,
                registered,
                running - 1,
                pendingTokens,
                coldUntil,
                coldDispatches,
                consecutiveFailures,
                ejectedUntil,
                prefillRate,
                unknownLoad);
    }

    UpstreamState succeeded() {
        return consecutiveFailures == 0 ? this : withFailures(0, ejectedUntil);
    }

    UpstreamState failed() {
        return withFailures(consecutiveFailures + 1, ejectedUntil);
    }

    /** Sets when the ejection ends, {@link Instant#MIN} for none, and restarts the count of failures. */
    UpstreamState withEjectedUntil(Instant until) {
        return withFailures(0, until);
    }

    private UpstreamState withFailures(int failures, Instant until) {
        return new UpstreamState(
                upstream,
                registered,
                running,
                pendingPrefillTokens,
                coldUntil,
                coldDispatches,
                failures,
                until,
                prefillRate,
                unknownLoad);
    }

    /** Learns from the time at which the response of an attempt started. A cold upstream says nothing about later. */
    UpstreamState withPrefillTime(Attempt attempt, Instant now) {
        return isCold(now) || attempt.prefillTokens() == 0
                ? this
                : with(prefillRate.withResponse(
                        attempt.pendingTokens() + attempt.prefillTokens(),
                        Duration.between(attempt.dispatchedAt(), now)));
    }

    private UpstreamState with(PrefillRate nextRate) {
        return new UpstreamState(
                upstream,
                registered,
                running,
                pendingPrefillTokens,
                coldUntil,
                coldDispatches,
                consecutiveFailures,
                ejectedUntil,
                nextRate,
                unknownLoad);
    }

    UpstreamState with(UnknownLoad nextLoad) {
        return new UpstreamState(
                upstream,
                registered,
                running,
                pendingPrefillTokens,
                coldUntil,
                coldDispatches,
                consecutiveFailures,
                ejectedUntil,
                prefillRate,
                nextLoad);
    }

    boolean isCold(Instant now) {
        return now.isBefore(coldUntil);
    }

    boolean isEjected(Instant now) {
        return now.isBefore(ejectedUntil);
    }

    PVector<Instant> recentColdDispatches(Instant now) {
        return TreePVector.from(coldDispatches.stream()
                .filter(dispatchedAt -> Duration.between(dispatchedAt, now).compareTo(COLD_WINDOW) <= 0)
                .toList());
    }

    boolean isUnused() {
        return !registered && running == 0;
    }
}

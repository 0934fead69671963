package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What this gateway knows of an upstream.
 *
 * @param upstream its latest registration
 * @param registered whether it is registered now
 * @param running how many of this gateway's requests run there
 * @param pendingPrefillTokens the tokens of this gateway's requests that it is believed still to read
 * @param coldUntil until when it is cold
 * @param sentWhileCold when requests were sent to it in the last second, while it is cold
 * @param failuresInRow how many attempts failed there since the last that did not
 * @param ejectedUntil until when it gets no work because of its failures
 */
record UpstreamState(
        Upstream upstream,
        boolean registered,
        int running,
        long pendingPrefillTokens,
        Instant coldUntil,
        PVector<Instant> sentWhileCold,
        int failuresInRow,
        Instant ejectedUntil) {

    private static final Duration COLD_WINDOW = Duration.ofSeconds(1);

    static UpstreamState found(Upstream upstream, Instant now) {
        return new UpstreamState(
                upstream, true, 0, 0, now.plus(upstream.coldRemaining()), TreePVector.empty(), 0, Instant.MIN);
    }

    UpstreamState seenAgain(Upstream entry, Instant now) {
        boolean coldAgain = !entry.coldRemaining().isZero();
        return new UpstreamState(
                entry,
                true,
                running,
                pendingPrefillTokens,
                coldAgain ? now.plus(entry.coldRemaining()) : coldUntil,
                sentWhileCold,
                failuresInRow,
                ejectedUntil);
    }

    UpstreamState gone() {
        return new UpstreamState(
                upstream, false, running, pendingPrefillTokens, coldUntil, sentWhileCold, failuresInRow, ejectedUntil);
    }

    UpstreamState sent(Attempt attempt, Instant now) {
        PVector<Instant> recent = isCold(now) ? sentLately(now).plus(now) : TreePVector.empty();
        return new UpstreamState(
                upstream,
                registered,
                running + 1,
                pendingPrefillTokens + attempt.prefillTokens(),
                coldUntil,
                recent,
                failuresInRow,
                ejectedUntil);
    }

    UpstreamState hasRead(Attempt attempt) {
        return new UpstreamState(
                upstream,
                registered,
                running,
                pendingPrefillTokens - attempt.prefillTokens(),
                coldUntil,
                sentWhileCold,
                failuresInRow,
                ejectedUntil);
    }

    UpstreamState ended(Attempt attempt) {
        long ahead = attempt.reading() ? pendingPrefillTokens - attempt.prefillTokens() : pendingPrefillTokens;
        return new UpstreamState(
                upstream, registered, running - 1, ahead, coldUntil, sentWhileCold, failuresInRow, ejectedUntil);
    }

    UpstreamState succeeded() {
        return failuresInRow == 0 ? this : judged(0, ejectedUntil);
    }

    UpstreamState failed() {
        return judged(failuresInRow + 1, ejectedUntil);
    }

    UpstreamState ejected(Instant until) {
        return judged(0, until);
    }

    private UpstreamState judged(int failures, Instant until) {
        return new UpstreamState(
                upstream, registered, running, pendingPrefillTokens, coldUntil, sentWhileCold, failures, until);
    }

    boolean isCold(Instant now) {
        return now.isBefore(coldUntil);
    }

    boolean isEjected(Instant now) {
        return now.isBefore(ejectedUntil);
    }

    PVector<Instant> sentLately(Instant now) {
        return TreePVector.from(sentWhileCold.stream()
                .filter(sent -> Duration.between(sent, now).compareTo(COLD_WINDOW) <= 0)
                .toList());
    }

    boolean isUnused() {
        return !registered && running == 0;
    }
}

package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Places a prompt where it will be read soonest and where its parts stay useful. Each session ranks the upstreams, the
 * same way at every gateway; its part of the prompt is taken to be cached at the first. It goes elsewhere only when the
 * first is behind by more than reading the part again is worth, and then rather to the second than to any other.
 */
final class PromptPlacement implements Placement {

    /** What reading a session's part again counts, in its tokens: it costs time here and a cached part elsewhere. */
    private static final double READ_AGAIN_AT_SECOND = 2;

    private static final double READ_AGAIN_ELSEWHERE = 4;

    private static final Comparator<Hashed> BY_HASH = Comparator.comparingLong(Hashed::hash);

    /** Of equal ones the first by hash, so that sessions spread. */
    private static final Comparator<Weighed> LIGHTEST =
            Comparator.comparingDouble(Weighed::weight).thenComparingLong(Weighed::hash);

    private final GatewayLimits limits;

    PromptPlacement(GatewayLimits limits) {
        this.limits = limits;
    }

    /** A place with what speaks against it, in tokens, and the hash of its upstream for the session. */
    private record Weighed(Place place, double weight, long hash) {}

    /** An upstream with its hash for the session. */
    private record Hashed(Candidate candidate, long hash) {}

    @Override
    public Optional<Place> place(Call call, List<Candidate> candidates, Room room) {
        if (candidates.stream().noneMatch(candidate -> admits(candidate, call, room))) {
            return Optional.empty();
        }
        Prompt prompt = call.description().prompt();
        int session = prompt.session().map(PromptPart::tokens).orElse(0);
        long own = Math.max(1, prompt.inputTokens() - prompt.sharedTokens());
        List<Hashed> hashed = hashed(prompt, candidates);
        Optional<Hashed> first = hashed.stream().min(BY_HASH);
        Optional<Hashed> second =
                hashed.stream().filter(other -> other != first.get()).min(BY_HASH);
        return hashed.stream()
                .map(other -> weigh(other, rank(other, first, second), own, session))
                .min(LIGHTEST)
                .map(Weighed::place)
                .filter(place -> admits(place.candidate(), call, room));
    }

    /** Hashes the upstreams for a session, at every gateway alike. */
    private static List<Hashed> hashed(Prompt prompt, List<Candidate> candidates) {
        long session = Mixing.mix(prompt.session().map(PromptPart::identifier).orElse(""));
        return candidates.stream()
                .map(candidate -> new Hashed(
                        candidate,
                        Mixing.mix(session, Mixing.mix(candidate.identifier().value()))))
                .toList();
    }

    /** The place of an upstream in the order of its hashes; all after the second are alike. */
    private static int rank(Hashed hashed, Optional<Hashed> first, Optional<Hashed> second) {
        if (hashed == first.orElse(null)) {
            return 0;
        }
        return hashed == second.orElse(null) ? 1 : 2;
    }

    private static Weighed weigh(Hashed hashed, int rank, long own, int session) {
        long toRead = rank == 0 ? own : own + session;
        double readAgain = rank == 0 ? 0 : session * (rank == 1 ? READ_AGAIN_AT_SECOND : READ_AGAIN_ELSEWHERE);
        Candidate candidate = hashed.candidate();
        return new Weighed(
                new Place(candidate, toRead), candidate.pendingPrefillTokens() + own + readAgain, hashed.hash());
    }

    /** An idle engine takes any prompt; a busy one takes more only while the wait behind them fits into the aim. */
    @Override
    public boolean admits(Candidate candidate, Call call, Room room) {
        double latencyTarget = call.description().route().latencyTarget().toMillis() * limits.maxPrefillWaitShare();
        double allowed = latencyTarget * limits.prefillTokensPerMillisecond() * room.share();
        int slots = candidate.upstream().upstream().slots();
        return candidate.running() * room.unheard() < slots
                && (candidate.pendingPrefillTokens() == 0
                        || candidate.pendingPrefillTokens() * room.unheard() < allowed);
    }
}

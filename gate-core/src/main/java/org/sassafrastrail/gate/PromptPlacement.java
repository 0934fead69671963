package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Places a prompt where it will be read soonest and where its parts stay useful. Each session ranks the upstreams, the
 * same way at every gateway; its part of the prompt is taken to be cached at the first. It goes elsewhere only when the
 * first is behind by more than reading the part again is worth, and then rather to the second than to any other.
 */
final class PromptPlacement implements Placement {

    /** What reading a session's part again counts, in its tokens: it costs time here and a cached part elsewhere. */
    private static final double READ_AGAIN_AT_SECOND = 2;

    private static final double READ_AGAIN_ELSEWHERE = 4;

    private final GateLimits limits;

    PromptPlacement(GateLimits limits) {
        this.limits = limits;
    }

    /** A place with what speaks against it, in tokens. */
    private record Weighed(Place place, double weight) {}

    /** An upstream with its hash for the session. */
    private record Hashed(Candidate candidate, long hash) {}

    @Override
    public Optional<Place> place(Call call, List<Candidate> candidates, Room room) {
        if (candidates.stream().noneMatch(candidate -> admits(candidate, call, room))) {
            return Optional.empty();
        }
        Prompt prompt = call.description().prompt();
        List<Candidate> ranked = ranked(prompt, candidates);
        return IntStream.range(0, ranked.size())
                .mapToObj(rank -> weigh(prompt, ranked.get(rank), rank))
                .min(Comparator.comparingDouble(Weighed::weight))
                .map(Weighed::place)
                .filter(place -> admits(place.candidate(), call, room));
    }

    /** Orders the upstreams by a hash that every gateway computes alike. */
    private static List<Candidate> ranked(Prompt prompt, List<Candidate> candidates) {
        long session = Mixing.mix(prompt.session().map(PromptPart::identifier).orElse(""));
        return candidates.stream()
                .map(candidate -> new Hashed(
                        candidate,
                        Mixing.mix(session, Mixing.mix(candidate.identifier().value()))))
                .sorted(Comparator.comparingLong(Hashed::hash))
                .map(Hashed::candidate)
                .toList();
    }

    private static Weighed weigh(Prompt prompt, Candidate candidate, int rank) {
        int session = prompt.session().map(PromptPart::tokens).orElse(0);
        long own = Math.max(1, prompt.inputTokens() - prompt.sharedTokens());
        long toRead = rank == 0 ? own : own + session;
        double readAgain = rank == 0 ? 0 : session * (rank == 1 ? READ_AGAIN_AT_SECOND : READ_AGAIN_ELSEWHERE);
        return new Weighed(new Place(candidate, toRead), candidate.tokensAhead() + own + readAgain);
    }

    /** An idle engine takes any prompt; a busy one takes more only while the wait behind them fits into the aim. */
    @Override
    public boolean admits(Candidate candidate, Call call, Room room) {
        double aim = call.description().route().aim().toMillis() * limits.mostWaitShareOfAim();
        double allowed = aim * limits.readTokensPerMillisecond() * room.share();
        int places = candidate.upstream().upstream().places();
        return candidate.running() * room.unheard() < places
                && (candidate.tokensAhead() == 0 || candidate.tokensAhead() * room.unheard() < allowed);
    }
}

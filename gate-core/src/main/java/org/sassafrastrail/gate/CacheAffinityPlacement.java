package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Places a prompt where it will be read soonest and where its parts stay useful. Each session ranks the upstreams, the
 * same way at every gateway; its part of the prompt is taken to be cached at the first. It goes elsewhere only when the
 * first is behind by more than reading the part again is worth, and then rather to the second than to any other.
 */
final class CacheAffinityPlacement implements Placement {

    /** What reading a session's part again counts, in its tokens: it costs time here and a cached part elsewhere. */
    private static final double RECOMPUTE_WEIGHT_AT_SECOND = 2;

    private static final double RECOMPUTE_WEIGHT_ELSEWHERE = 4;

    private static final Comparator<Hashed> BY_HASH = Comparator.comparingLong(Hashed::hash);

    /** Of equal ones the first by hash, so that sessions spread. */
    private static final Comparator<Scored> LOWEST_SCORE =
            Comparator.comparingDouble(Scored::score).thenComparingLong(Scored::hash);

    private final GatewayLimits limits;

    CacheAffinityPlacement(GatewayLimits limits) {
        this.limits = limits;
    }

    /** A place with what speaks against it, in tokens, and the hash of its upstream for the session. */
    private record Scored(Choice choice, double score, long hash) {}

    /** An upstream with its hash for the session. */
    private record Hashed(Candidate candidate, long hash) {}

    @Override
    public Optional<Choice> choose(Call call, List<Candidate> candidates, CapacityAllowance allowance) {
        if (candidates.stream().noneMatch(candidate -> hasCapacity(candidate, call, allowance))) {
            return Optional.empty();
        }
        Prompt prompt = call.description().prompt();
        int sessionTokens = prompt.session().map(PromptPart::tokens).orElse(0);
        long ownTokens = Math.max(1, prompt.inputTokens() - prompt.sharedTokens());
        List<Hashed> hashed = hashed(prompt, candidates);
        Optional<Hashed> first = hashed.stream().min(BY_HASH);
        Optional<Hashed> second =
                hashed.stream().filter(other -> other != first.get()).min(BY_HASH);
        return hashed.stream()
                .map(other -> score(other, rank(other, first, second), ownTokens, sessionTokens))
                .min(LOWEST_SCORE)
                .map(Scored::choice)
                .filter(choice -> hasCapacity(choice.candidate(), call, allowance));
    }

    /** Hashes the upstreams for a session, at every gateway alike. */
    private static List<Hashed> hashed(Prompt prompt, List<Candidate> candidates) {
        long session =
                StableHash.of(prompt.session().map(PromptPart::identifier).orElse(""));
        return candidates.stream()
                .map(candidate -> new Hashed(
                        candidate,
                        StableHash.combine(
                                session, StableHash.of(candidate.identifier().value()))))
                .toList();
    }

    /** The place of an upstream in the order of its hashes; all after the second are alike. */
    private static int rank(Hashed hashed, Optional<Hashed> first, Optional<Hashed> second) {
        if (hashed == first.orElse(null)) {
            return 0;
        }
        return hashed == second.orElse(null) ? 1 : 2;
    }

    private static Scored score(Hashed hashed, int rank, long ownTokens, int sessionTokens) {
        long prefillTokens = rank == 0 ? ownTokens : ownTokens + sessionTokens;
        double recomputeCost =
                rank == 0 ? 0 : sessionTokens * (rank == 1 ? RECOMPUTE_WEIGHT_AT_SECOND : RECOMPUTE_WEIGHT_ELSEWHERE);
        Candidate candidate = hashed.candidate();
        return new Scored(
                new Choice(candidate, prefillTokens),
                candidate.pendingPrefillTokens() + ownTokens + recomputeCost,
                hashed.hash());
    }

    /** An idle engine takes any prompt; a busy one takes more only while the wait behind them fits into the aim. */
    @Override
    public boolean hasCapacity(Candidate candidate, Call call, CapacityAllowance allowance) {
        double maxWait = call.description().route().latencyTarget().toMillis() * limits.maxPrefillWaitShare();
        double maxPendingTokens = maxWait * limits.prefillTokensPerMillisecond() * allowance.share();
        int slots = candidate.upstream().upstream().slots();
        return candidate.running() * allowance.loadFactor() < slots
                && (candidate.pendingPrefillTokens() == 0
                        || candidate.pendingPrefillTokens() * allowance.loadFactor() < maxPendingTokens);
    }
}

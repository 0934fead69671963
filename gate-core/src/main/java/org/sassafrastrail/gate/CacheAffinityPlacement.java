package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the upstream that will prefill a prompt soonest, with affinity to the one that has the prompt's session
 * cached. Rendezvous hashing ranks the upstreams for each session, identically at every gateway, and the session's
 * prompt part is assumed to be cached at the first. Another upstream is chosen only if the first has no free slot, or more
 * pending prefill work than recomputing the part costs; the second in rank is then preferred to all others.
 */
final class CacheAffinityPlacement implements Placement {

    /**
     * The cost of recomputing a session's part, as a multiple of its tokens: it takes time and evicts another cached
     * part.
     */
    private static final double RECOMPUTE_WEIGHT_AT_SECOND = 8;

    private static final double RECOMPUTE_WEIGHT_ELSEWHERE = 16;

    private static final Comparator<Hashed> BY_HASH = Comparator.comparingLong(Hashed::hash);

    /**
     * Breaks ties in favour of the own failure domain, because bytes between failure domains cost, and then by hash, so that
     * sessions spread over the upstreams.
     */
    private static final Comparator<Scored> LOWEST_SCORE = Comparator.comparingDouble(Scored::score)
            .thenComparing(scored -> scored.choice().candidate().inOwnDomain(), Comparator.reverseOrder())
            .thenComparingLong(Scored::hash);

    private final GatewayLimits limits;

    CacheAffinityPlacement(GatewayLimits limits) {
        this.limits = limits;
    }

    /** A choice with its cost in tokens, and the hash of its upstream for the session. */
    private record Scored(Choice choice, double score, long hash) {}

    /** An upstream with its rendezvous hash for the session. */
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
                .filter(other -> hasFreeSlot(other.candidate(), allowance))
                .map(other -> score(other, rank(other, first, second), ownTokens, sessionTokens))
                .min(LOWEST_SCORE)
                .map(Scored::choice)
                .filter(choice -> hasCapacity(choice.candidate(), call, allowance));
    }

    /** Hashes the upstreams for a session, identically at every gateway. */
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

    /** Returns the rank of an upstream by hash: 0 for the first, 1 for the second, 2 for all others. */
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

    /** An upstream whose slots are all in use is no choice, because its pending prefill work says nothing about the wait. */
    private static boolean hasFreeSlot(Candidate candidate, CapacityAllowance allowance) {
        return candidate.running() * allowance.loadFactor()
                < candidate.upstream().upstream().slots();
    }

    /**
     * An upstream has capacity while it has a free slot and no pending prefill work, or little enough that the wait for
     * it fits into the request's share of the latency target.
     */
    @Override
    public boolean hasCapacity(Candidate candidate, Call call, CapacityAllowance allowance) {
        double maxWait = call.description().route().latencyTarget().toMillis() * limits.maxPrefillWaitShare();
        return hasFreeSlot(candidate, allowance)
                && (candidate.pendingPrefillTokens() == 0
                        || candidate.prefillMilliseconds(candidate.pendingPrefillTokens() * allowance.loadFactor())
                                < maxWait * allowance.share());
    }
}

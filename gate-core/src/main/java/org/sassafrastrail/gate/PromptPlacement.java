package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Places a prompt where it will be read soonest. Each session has a home among the upstreams, the same for every
 * gateway, where its part of the prompt is taken to be cached; elsewhere it has to be read first. So a session leaves its
 * home only when that is further behind than the part takes to read.
 */
final class PromptPlacement implements Placement {

    private final GateLimits limits;

    PromptPlacement(GateLimits limits) {
        this.limits = limits;
    }

    @Override
    public Optional<Place> place(Call call, Stream<UpstreamState> candidates, int gateways, Instant now) {
        List<UpstreamState> choices = candidates.toList();
        Prompt prompt = call.description().prompt();
        Optional<UpstreamIdentifier> home = prompt.session().flatMap(session -> choices.stream()
                .map(state -> state.upstream().identifier())
                .max(Comparator.comparingLong(upstream -> affinity(upstream, session))));
        return choices.stream()
                .map(state -> new Place(state, tokensToRead(prompt, home, state)))
                .min(Comparator.comparingLong(place -> place.upstream().tokensAhead() + place.tokensToRead()))
                .filter(place -> admits(place, call, gateways));
    }

    private static long tokensToRead(Prompt prompt, Optional<UpstreamIdentifier> home, UpstreamState state) {
        long own = prompt.inputTokens() - prompt.sharedTokens();
        boolean cached = home.filter(state.upstream().identifier()::equals).isPresent();
        return Math.max(
                1, cached ? own : own + prompt.session().map(PromptPart::tokens).orElse(0));
    }

    /** An idle engine takes any prompt; a busy one takes more only while the wait behind them fits into the aim. */
    private boolean admits(Place place, Call call, int gateways) {
        double aim = call.description().route().aim().toMillis() * limits.mostWaitShareOfAim();
        double allowed = aim * limits.readTokensPerMillisecond() / gateways;
        UpstreamState state = place.upstream();
        int places = Math.max(1, state.upstream().places() / gateways);
        return state.running() < places && (state.tokensAhead() == 0 || state.tokensAhead() < allowed);
    }

    /** Ranks the upstreams for a session, by a hash that every gateway computes alike. */
    private static long affinity(UpstreamIdentifier upstream, PromptPart session) {
        return Mixing.mix(upstream.value() + "/" + session.identifier());
    }
}

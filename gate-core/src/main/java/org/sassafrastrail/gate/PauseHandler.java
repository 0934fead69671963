package org.sassafrastrail.gate;

import java.time.Instant;

import org.sassafrastrail.decision.Transition;

/** Handles upstreams that want no more requests of this gateway for some time. */
final class PauseHandler {

    private final CallHandler calls;

    PauseHandler(CallHandler calls) {
        this.calls = calls;
    }

    Transition<GatewayState, GatewayAction> pauseRequested(
            GatewayState state, GatewayEvent.PauseRequested event, Instant now) {
        Upstream upstream = event.upstream();
        UpstreamPauses pauses = state.pauses().with(upstream.incarnation(), now.plus(event.duration()));
        if (pauses == state.pauses()) {
            return Transition.to(state);
        }
        return Transition.<GatewayState, GatewayAction>to(state.with(pauses))
                .then(new GatewayAction.ReportUpstreamStatus(
                        upstream.identifier(),
                        UpstreamStatus.PAUSED,
                        "for " + event.duration().toMillis() + " ms"))
                .and(next -> calls.refusePaused(next, upstream.target(), now));
    }
}

package org.sassafrastrail.gate;

import java.time.Instant;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.rotation.Rotation;
import org.sassafrastrail.gate.rotation.RotationPolicy;

/** Handles measurements of this process's load and peers' reports of theirs: leaves the rotation under overload, and returns. */
final class RotationHandler {

    private final RotationPolicy policy;

    RotationHandler(RotationPolicy policy) {
        this.policy = policy;
    }

    Transition<GatewayState, GatewayAction> loadMeasured(
            GatewayState state, GatewayEvent.LoadMeasured event, Instant now) {
        Rotation measured = state.rotation().withLoad(event.load(), now);
        Rotation decided = measured.changedTo(policy.shouldBeIn(measured, now), now);
        Transition<GatewayState, GatewayAction> shared = share(state, decided, now);
        return decided.inRotation() == measured.inRotation()
                ? shared
                : shared.then(new GatewayAction.ReportRotation(decided));
    }

    private static Transition<GatewayState, GatewayAction> share(GatewayState state, Rotation rotation, Instant now) {
        return rotation.dueReport(now)
                .map(report -> Transition.<GatewayState, GatewayAction>to(state.with(rotation.asShared(now)))
                        .then(new GatewayAction.ShareRotation(report)))
                .orElseGet(() -> Transition.to(state.with(rotation)));
    }

    Transition<GatewayState, GatewayAction> peerRotationReceived(
            GatewayState state, GatewayEvent.PeerRotationReceived event, Instant now) {
        return Transition.to(state.with(state.rotation().withReport(event.peer(), event.report(), now)));
    }
}

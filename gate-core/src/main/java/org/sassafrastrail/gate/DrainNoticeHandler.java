package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/** Handles upstreams that are known to drain though the registry may say otherwise, and shares this with the peers. */
final class DrainNoticeHandler {

    Transition<GatewayState, GatewayAction> noticeReceived(
            GatewayState state, GatewayEvent.DrainNoticeReceived event, Instant now) {
        UpstreamIncarnation upstream = event.upstream().incarnation();
        boolean known = state.drainNotices().contains(upstream);
        Transition<GatewayState, GatewayAction> next =
                Transition.to(state.with(state.drainNotices().with(upstream, now)));
        return known ? next : next.then(statusReport(event.upstream(), "said so in a response to this gateway"));
    }

    /** Applies the notices of a peer that are not too old, also on upstreams that the registry has not shown here yet. */
    Transition<GatewayState, GatewayAction> peerNoticesReceived(
            GatewayState state, GatewayEvent.PeerDrainNoticesReceived event, Instant now) {
        Map<UpstreamIncarnation, Instant> reported = event.reports().stream()
                .filter(report -> report.age().compareTo(DrainNotices.RETENTION) <= 0)
                .filter(report -> !state.drainNotices().contains(report.upstream()))
                .collect(Collectors.toUnmodifiableMap(
                        DrainReport::upstream, report -> now.minus(report.age()), (first, repeated) -> first));
        List<Upstream> applied = state.upstreams().values().stream()
                .map(UpstreamState::upstream)
                .filter(upstream -> reported.containsKey(upstream.incarnation()))
                .toList();
        return Transition.<GatewayState, GatewayAction>to(
                        state.with(state.drainNotices().mergedWith(reported)))
                .thenAll(applied.stream()
                        .map(upstream -> statusReport(upstream, "another gateway knows"))
                        .toList());
    }

    private static GatewayAction statusReport(Upstream upstream, String detail) {
        return new GatewayAction.ReportUpstreamStatus(upstream.identifier(), UpstreamStatus.LEAVING, detail);
    }

    /** Tells the peers what they have not been told. */
    Transition<GatewayState, GatewayAction> share(GatewayState state, Instant now) {
        DrainNotices notices = state.drainNotices();
        if (notices.unshared().isEmpty()) {
            return Transition.to(state);
        }
        List<DrainReport> reports = notices.unshared().stream()
                .map(upstream -> new DrainReport(
                        upstream, Duration.between(notices.heardAt().get(upstream), now)))
                .toList();
        return Transition.<GatewayState, GatewayAction>to(state.with(notices.asShared()))
                .then(new GatewayAction.ShareDrainNotices(reports));
    }
}

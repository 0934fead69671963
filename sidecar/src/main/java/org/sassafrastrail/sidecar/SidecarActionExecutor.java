package org.sassafrastrail.sidecar;

import java.util.concurrent.CountDownLatch;

import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.runtime.ActionExecutor;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.TrafficThreadPool;
import org.sassafrastrail.sidecar.core.SidecarAction;

/** Executes the actions of the sidecar's core. */
final class SidecarActionExecutor implements ActionExecutor<SidecarAction> {

    private final DispatchFrontEnd dispatches;
    private final UpstreamForwarder forwarder;
    private final RouterLinks links;
    private final TrafficThreadPool threads;
    private final Metrics metrics;
    private final EventLog log;
    private final CountDownLatch drained;

    SidecarActionExecutor(
            DispatchFrontEnd dispatches,
            UpstreamForwarder forwarder,
            RouterLinks links,
            TrafficThreadPool threads,
            Metrics metrics,
            EventLog log,
            CountDownLatch drained) {
        this.dispatches = dispatches;
        this.forwarder = forwarder;
        this.links = links;
        this.threads = threads;
        this.metrics = metrics;
        this.log = log;
        this.drained = drained;
    }

    @Override
    public void execute(SidecarAction action) {
        if (action instanceof SidecarAction.SendMessage send) {
            links.send(send.router(), send.message());
        } else if (action instanceof SidecarAction.BeginAttempt begin) {
            beginAttempt(begin);
        } else if (action instanceof SidecarAction.DeclineAttempt decline) {
            declineAttempt(decline);
        } else if (action instanceof SidecarAction.GrantExpired expired) {
            grantExpired(expired);
        } else if (action instanceof SidecarAction.ConfigurationAdopted adopted) {
            log.info(
                    "configuration-adopted",
                    LogField.of("revision", adopted.document().revision().value()));
        } else if (action instanceof SidecarAction.UpstreamTurnedCold cold) {
            metrics.count("upstream-turned-cold", 1);
            log.info("upstream-turned-cold", LogField.of("limit", cold.limit()));
        } else {
            drained.countDown();
        }
    }

    private void beginAttempt(SidecarAction.BeginAttempt begin) {
        metrics.count("attempts-begun", 1);
        log.debug(
                "attempt-begun",
                LogField.of("request", begin.attempt().request()),
                LogField.of("account", begin.account()),
                LogField.of("attempt", begin.attempt().number()));
        dispatches.remove(begin.grant()).ifPresent(dispatch -> threads.submit(() -> forwarder.forward(dispatch)));
    }

    private void declineAttempt(SidecarAction.DeclineAttempt decline) {
        NotRunReason reason = decline.reason();
        metrics.count("attempts-declined", reason);
        log.info(
                "attempt-declined",
                LogField.of("request", decline.attempt().request()),
                LogField.of("attempt", decline.attempt().number()),
                LogField.of("reason", reason));
        dispatches
                .remove(decline.grant())
                .ifPresent(dispatch -> threads.submit(() -> UpstreamForwarder.sendNotRun(dispatch.exchange(), reason)));
    }

    private void grantExpired(SidecarAction.GrantExpired expired) {
        metrics.count("grants-expired", 1);
        log.info(
                "grant-expired",
                LogField.of("account", expired.account()),
                LogField.of("grant", expired.grant().sequence()));
    }
}

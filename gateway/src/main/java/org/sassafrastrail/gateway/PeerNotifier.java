package org.sassafrastrail.gateway;

import java.util.List;

import org.sassafrastrail.gate.CrashReport;
import org.sassafrastrail.gate.DrainReport;
import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.gate.GatewayReport;
import org.sassafrastrail.gate.capacity.CapacityReport;
import org.sassafrastrail.gate.limit.LimitReport;
import org.sassafrastrail.model.FailureDomainName;

/** Sends what this gateway has decided to tell its peers. */
interface PeerNotifier {

    /** Sends a report on this gateway's load and client accounts to all peers. */
    void sendReport(GatewayReport report);

    /** Tells all peers what this gateway has learnt of crashes of upstreams. */
    void shareCrashes(List<CrashReport> crashes);

    /** Tells all peers which upstreams said that they are draining. */
    void shareDrainNotices(List<DrainReport> reports);

    /** Tells all peers which limits upstreams named. */
    void shareRateLimits(List<LimitReport> reports);

    /** Tells all peers in which failure domain this gateway is. */
    void announceDomain(FailureDomainName domain);

    /** Tells all peers what this gateway learned of the speed of upstreams. */
    void shareCapacity(CapacityReport report);

    /** Asks a peer for a permit. */
    void requestPermit(GatewayAction.RequestPermit request);

    /** Answers a peer's permit request. */
    void answerPermitRequest(GatewayAction.AnswerPermitRequest answer);
}

package org.sassafrastrail.gateway;

import org.sassafrastrail.gate.capacity.CapacityReport;
import org.sassafrastrail.gate.capacity.ResponseSums;
import org.sassafrastrail.gate.capacity.UpstreamSums;
import org.sassafrastrail.gate.capacity.UpstreamWork;
import org.sassafrastrail.gate.capacity.WorkKind;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.messages.CapacityUpdate;
import org.sassafrastrail.messages.UpstreamResponses;

/** Converts what gateways tell each other of the speed of upstreams between the form of the core and the message on the wire. */
final class CapacityUpdateMapper {

    private CapacityUpdateMapper() {}

    static CapacityUpdate toMessage(CapacityReport report) {
        return new CapacityUpdate(
                report.sequence(),
                report.upstreams().stream().map(CapacityUpdateMapper::toMessage).toList());
    }

    private static UpstreamResponses toMessage(UpstreamSums upstream) {
        ResponseSums sums = upstream.sums();
        return new UpstreamResponses(
                upstream.work().upstream().upstream(),
                upstream.work().upstream().startedAtMillis(),
                upstream.work().kind() == WorkKind.PREFILL,
                sums.count(),
                sums.countSquared(),
                sums.work(),
                sums.workSquared(),
                sums.time(),
                sums.timeSquared(),
                sums.workTime());
    }

    static CapacityReport fromMessage(CapacityUpdate message) {
        return new CapacityReport(
                message.sequence(),
                message.upstreams().stream()
                        .map(CapacityUpdateMapper::fromMessage)
                        .toList());
    }

    private static UpstreamSums fromMessage(UpstreamResponses upstream) {
        return new UpstreamSums(
                new UpstreamWork(
                        new UpstreamIncarnation(upstream.upstream(), upstream.startedAtMillis()),
                        upstream.prefill() ? WorkKind.PREFILL : WorkKind.SERVICE),
                new ResponseSums(
                        upstream.count(),
                        upstream.countSquared(),
                        upstream.work(),
                        upstream.workSquared(),
                        upstream.time(),
                        upstream.timeSquared(),
                        upstream.workTime()));
    }
}

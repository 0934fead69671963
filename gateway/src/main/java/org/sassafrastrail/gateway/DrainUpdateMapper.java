package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;

import org.sassafrastrail.gate.DrainReport;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.messages.DrainUpdate;
import org.sassafrastrail.messages.DrainingUpstream;

/** Converts what gateways tell each other of draining upstreams between the form of the core and the message on the wire. */
final class DrainUpdateMapper {

    private DrainUpdateMapper() {}

    static DrainUpdate toMessage(List<DrainReport> reports) {
        return new DrainUpdate(reports.stream()
                .map(report -> new DrainingUpstream(
                        report.upstream().upstream(),
                        report.upstream().startedAtMillis(),
                        report.age().toMillis()))
                .toList());
    }

    static List<DrainReport> fromMessage(DrainUpdate message) {
        return message.upstreams().stream()
                .map(draining -> new DrainReport(
                        new UpstreamIncarnation(draining.upstream(), draining.startedAtMillis()),
                        Duration.ofMillis(Math.max(0, draining.ageMilliseconds()))))
                .toList();
    }
}

package org.sassafrastrail.gateway;

import java.util.stream.Collectors;

import org.sassafrastrail.gate.AccountTokens;
import org.sassafrastrail.gate.GatewayLoad;
import org.sassafrastrail.gate.GatewayReport;
import org.sassafrastrail.gate.UpstreamIdentifier;
import org.sassafrastrail.messages.AccountUsage;
import org.sassafrastrail.messages.LoadReport;
import org.sassafrastrail.messages.UpstreamLoad;

/** Converts the reports that gateways send each other between the form of the core and the message on the wire. */
final class LoadReportMapper {

    private LoadReportMapper() {}

    static LoadReport toMessage(GatewayReport report) {
        return new LoadReport(
                report.full(),
                report.loads().entrySet().stream()
                        .map(load -> new UpstreamLoad(
                                load.getKey().value(),
                                load.getValue().running(),
                                load.getValue().pendingPrefillTokens()))
                        .toList(),
                report.accounts().entrySet().stream()
                        .map(usage -> new AccountUsage(
                                usage.getKey(),
                                usage.getValue().requested(),
                                usage.getValue().served()))
                        .toList());
    }

    static GatewayReport fromMessage(LoadReport message) {
        return new GatewayReport(
                message.full(),
                message.loads().stream()
                        .collect(Collectors.toUnmodifiableMap(
                                load -> new UpstreamIdentifier(load.upstream()),
                                load -> new GatewayLoad(load.running(), load.pendingPrefillTokens()),
                                (first, repeated) -> repeated)),
                message.accounts().stream()
                        .collect(Collectors.toUnmodifiableMap(
                                AccountUsage::account,
                                usage -> new AccountTokens(usage.requested(), usage.served()),
                                (first, repeated) -> repeated)));
    }
}

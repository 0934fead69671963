package org.sassafrastrail.gateway;

import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.sassafrastrail.gate.AccountTokens;
import org.sassafrastrail.gate.GatewayReport;
import org.sassafrastrail.gate.UpstreamIdentifier;
import org.sassafrastrail.gate.UpstreamLoadElsewhere;
import org.sassafrastrail.messages.AccountUse;
import org.sassafrastrail.messages.LoadReport;
import org.sassafrastrail.messages.UpstreamLoad;

/** What gateways tell each other, as the core knows it and as messages carry it. */
final class ReportMessages {

    private ReportMessages() {}

    static LoadReport message(GatewayReport report) {
        return new LoadReport(
                report.loads().entrySet().stream()
                        .map(load -> new UpstreamLoad(
                                load.getKey().value(),
                                load.getValue().running(),
                                load.getValue().tokensToRead()))
                        .toList(),
                report.accounts().entrySet().stream()
                        .map(use -> new AccountUse(
                                use.getKey(),
                                use.getValue().asked(),
                                use.getValue().got()))
                        .toList());
    }

    static GatewayReport report(LoadReport message) {
        return new GatewayReport(
                HashTreePMap.from(message.loads().stream()
                        .collect(Collectors.toMap(
                                load -> new UpstreamIdentifier(load.upstream()),
                                load -> new UpstreamLoadElsewhere(load.running(), load.tokensToRead())))),
                HashTreePMap.from(message.accounts().stream()
                        .collect(Collectors.toMap(
                                AccountUse::account, use -> new AccountTokens(use.asked(), use.got())))));
    }
}

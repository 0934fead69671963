package org.sassafrastrail.gateway;

import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.sassafrastrail.gate.GatewayReport;
import org.sassafrastrail.gate.UpstreamIdentifier;
import org.sassafrastrail.gate.UpstreamLoadElsewhere;
import org.sassafrastrail.messages.AccountTurn;
import org.sassafrastrail.messages.AccountUse;
import org.sassafrastrail.messages.LoadReport;
import org.sassafrastrail.messages.UpstreamLoad;
import org.sassafrastrail.model.TargetName;

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
                report.usage().entrySet().stream()
                        .map(use -> new AccountUse(use.getKey(), use.getValue()))
                        .toList(),
                report.turns().entrySet().stream()
                        .map(turn -> new AccountTurn(turn.getKey().value(), turn.getValue()))
                        .toList());
    }

    static GatewayReport report(LoadReport message) {
        return new GatewayReport(
                HashTreePMap.from(message.loads().stream()
                        .collect(Collectors.toMap(
                                load -> new UpstreamIdentifier(load.upstream()),
                                load -> new UpstreamLoadElsewhere(load.running(), load.tokensToRead())))),
                HashTreePMap.from(
                        message.accounts().stream().collect(Collectors.toMap(AccountUse::account, AccountUse::tokens))),
                HashTreePMap.from(message.turns().stream()
                        .collect(Collectors.toMap(turn -> new TargetName(turn.target()), AccountTurn::account))));
    }
}

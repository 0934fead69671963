package org.sassafrastrail.gateway;

import java.util.Optional;

/**
 * The parts of the head of an upstream's response that its classification depends on.
 *
 * @param status the status code
 * @param requestIdentifier the identifier of the request that the response names, empty if it names none
 * @param notExecuted whether the upstream states that it did not run the request
 * @param hasReceipt whether the response carries a receipt, which authenticates it as an upstream's own
 * @param contentEncoded whether the body has a content encoding, which the gateway did not request
 * @param eventStream whether the body is a stream of events
 */
public record ResponseFacts(
        int status,
        Optional<String> requestIdentifier,
        boolean notExecuted,
        boolean hasReceipt,
        boolean contentEncoded,
        boolean eventStream) {

    boolean belongsTo(String identifier) {
        return requestIdentifier.filter(identifier::equals).isPresent();
    }

    boolean belongsToAnother(String identifier) {
        return requestIdentifier.filter(named -> !named.equals(identifier)).isPresent();
    }
}

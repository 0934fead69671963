package org.sassafrastrail.gateway;

import java.util.Optional;

/**
 * What the head of an upstream's answer says, as far as it matters for what the answer means.
 *
 * @param status its status
 * @param requestIdentifier the identifier of the request that it says it belongs to, empty if it names none
 * @param notExecuted whether it says that the upstream did not run the request
 * @param hasReceipt whether it bears a proof that it is an upstream's own
 * @param contentEncoded whether its body is in an encoding that the gateway did not ask for
 * @param eventStream whether its body is a stream of events
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

package org.sassafrastrail.gateway;

import io.undertow.client.ClientRequest;

/** The request of an attempt, asked for at the moment at which it can be sent. */
sealed interface AttemptRequest {

    /**
     * The request is to be sent.
     *
     * @param head its head
     */
    record Ready(ClientRequest head) implements AttemptRequest {}

    /**
     * The request is not to be sent any more.
     *
     * @param cause why, in human-readable form
     */
    record NotWanted(String cause) implements AttemptRequest {}
}

package org.sassafrastrail.sidecar;

import java.util.Map;

import io.undertow.server.HttpServerExchange;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;

/**
 * A request from a router that waits for the control thread's decision.
 *
 * @param exchange the exchange with the router
 * @param attempt the attempt
 * @param grant the grant that it was sent with
 * @param method the method for the upstream
 * @param path the path for the upstream
 * @param headers the headers for the upstream
 * @param body the whole body
 */
record PendingDispatch(
        HttpServerExchange exchange,
        AttemptIdentifier attempt,
        GrantIdentifier grant,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body) {}

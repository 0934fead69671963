package org.sassafrastrail.sidecar;

import java.util.Map;

import io.undertow.server.HttpServerExchange;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;

/**
 * A dispatched request that is pending a decision of the control thread.
 *
 * @param exchange the HTTP exchange with the router
 * @param attempt the attempt
 * @param grant the grant of the dispatch
 * @param method the HTTP method of the upstream request
 * @param path the path of the upstream request
 * @param headers the headers of the upstream request
 * @param body the complete request body
 */
record PendingDispatch(
        HttpServerExchange exchange,
        AttemptIdentifier attempt,
        GrantIdentifier grant,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body) {}

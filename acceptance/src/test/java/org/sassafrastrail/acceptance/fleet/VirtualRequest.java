package org.sassafrastrail.acceptance.fleet;

import org.sassafrastrail.model.RequestIdentifier;

/**
 * A request submitted by a test.
 *
 * @param identifier the request identifier
 * @param account the client account
 * @param hint the cost hint of the caller, in tokens
 * @param cost the actual cost, in tokens
 */
public record VirtualRequest(RequestIdentifier identifier, String account, long hint, long cost) {}

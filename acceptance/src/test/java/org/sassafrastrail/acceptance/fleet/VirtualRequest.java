package org.sassafrastrail.acceptance.fleet;

import org.sassafrastrail.model.RequestIdentifier;

/**
 * A request of a test.
 *
 * @param identifier identifies it
 * @param account the client account
 * @param hint the hint that its caller gives, in tokens
 * @param cost what it will cost, in tokens
 */
public record VirtualRequest(RequestIdentifier identifier, String account, long hint, long cost) {}

package org.sassafrastrail.gateway;

import org.sassafrastrail.gate.CallDescription;

/**
 * A caller's request that has been read completely.
 *
 * @param number the number that this gateway assigned to it
 * @param description its parsed head and route
 * @param body the request body
 */
record CallerRequest(long number, CallDescription description, byte[] body) {}

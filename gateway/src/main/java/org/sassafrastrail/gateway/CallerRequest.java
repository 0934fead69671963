package org.sassafrastrail.gateway;

import org.sassafrastrail.gate.CallDescription;

/**
 * A caller's request that was read whole.
 *
 * @param number the gateway's number for it
 * @param description what it asks for
 * @param body its body
 */
record CallerRequest(long number, CallDescription description, byte[] body) {}

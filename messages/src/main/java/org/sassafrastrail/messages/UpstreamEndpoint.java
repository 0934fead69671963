package org.sassafrastrail.messages;

import org.sassafrastrail.model.UpstreamProfile;

/**
 * The upstream of a sidecar and the port at which the sidecar accepts dispatches for it.
 *
 * @param profile the upstream's target, version and failure domain
 * @param dispatchPort the HTTP port of the sidecar
 */
public record UpstreamEndpoint(UpstreamProfile profile, int dispatchPort) {}

package org.sassafrastrail.messages;

import org.sassafrastrail.model.UpstreamProfile;

/**
 * A sidecar's upstream and the port where the sidecar takes dispatches for it.
 *
 * @param profile what the upstream serves
 * @param dispatchPort the sidecar's HTTP port
 */
public record UpstreamEndpoint(UpstreamProfile profile, int dispatchPort) {}

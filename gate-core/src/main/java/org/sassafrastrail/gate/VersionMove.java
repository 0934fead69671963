package org.sassafrastrail.gate;

import org.sassafrastrail.model.TargetName;

/**
 * The operators' order to move the requests of a service or model to another version of its upstreams.
 *
 * @param target the service or model
 * @param version the version to move to
 */
public record VersionMove(TargetName target, String version) {

    /** Returns whether an upstream runs the new version. */
    boolean isTo(Upstream upstream) {
        return upstream.target().equals(target) && upstream.version().equals(version);
    }
}

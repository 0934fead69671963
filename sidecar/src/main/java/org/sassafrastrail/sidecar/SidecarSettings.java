package org.sassafrastrail.sidecar;

/**
 * The settings of a sidecar.
 *
 * @param node its name
 * @param host the address that it listens on
 * @param controlPort the port for links from routers
 * @param dispatchPort the port for requests from routers
 * @param linkKey the shared key of the fleet's links; empty leaves them open, on loopback only
 * @param target the model or service that the upstream serves
 * @param version the version that the upstream runs
 * @param failureDomain where the upstream stands
 * @param upstreamHost the upstream's address
 * @param upstreamPort the upstream's port
 * @param limit how the concurrency limit follows the upstream: {@code additive} or {@code gradient}
 * @param logLevel the level of the log
 */
public record SidecarSettings(
        String node,
        String host,
        int controlPort,
        int dispatchPort,
        String linkKey,
        String target,
        String version,
        String failureDomain,
        String upstreamHost,
        int upstreamPort,
        String limit,
        String logLevel) {}

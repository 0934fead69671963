package org.sassafrastrail.sidecar;

/**
 * Settings of a sidecar.
 *
 * @param node the node name
 * @param host the address to listen on
 * @param controlPort the port for control links from routers
 * @param dispatchPort the port for dispatched requests from routers
 * @param linkKey the shared key of the fleet's links; empty for no authentication, on loopback only
 * @param target the model or service that the upstream serves
 * @param version the version that the upstream runs
 * @param failureDomain the failure domain of the upstream
 * @param upstreamHost the upstream's address
 * @param upstreamPort the upstream's port
 * @param limit the algorithm of the concurrency limit: {@code additive} or {@code gradient}
 * @param logLevel the log level
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

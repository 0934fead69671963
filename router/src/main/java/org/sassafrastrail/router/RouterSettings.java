package org.sassafrastrail.router;

import java.util.List;

/**
 * The settings of a router.
 *
 * @param node the name of the router
 * @param host the address to listen on
 * @param port the port for callers and operators
 * @param linkKey the shared key that authenticates links and operators; an empty key disables authentication and is
 *     allowed on loopback only
 * @param platformHost the address of the platform
 * @param platformPort the port of the platform
 * @param platformPatienceMilliseconds the timeout of requests to the platform
 * @param seedSidecars the sidecars to link to until the platform's VM list has been read, each as {@code address:port}
 * @param linkLimit the maximum number of sidecars to link to
 * @param callerPatienceMilliseconds how long a request may be queued if its caller sets no limit
 * @param largestBodyBytes the maximum size of a request body
 * @param seed the seed of random backoff delays
 * @param logLevel the minimum level of log messages
 */
public record RouterSettings(
        String node,
        String host,
        int port,
        String linkKey,
        String platformHost,
        int platformPort,
        long platformPatienceMilliseconds,
        List<String> seedSidecars,
        int linkLimit,
        long callerPatienceMilliseconds,
        int largestBodyBytes,
        long seed,
        String logLevel) {}

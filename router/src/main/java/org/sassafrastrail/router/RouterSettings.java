package org.sassafrastrail.router;

import java.util.List;

/**
 * The settings of a router.
 *
 * @param node its name
 * @param host the address that it listens on
 * @param port the port for callers and operators
 * @param linkKey the shared key of the fleet's links and of operators; empty leaves them open, on loopback only
 * @param platformHost the platform's address
 * @param platformPort the platform's port
 * @param platformPatienceMilliseconds how long an answer of the platform may take
 * @param seedSidecars sidecars to link to while the platform's list has not been read, each as address and port with a
 *     colon between
 * @param linkLimit how many sidecars it links to at most
 * @param callerPatienceMilliseconds how long a request waits if its caller does not say
 * @param largestBodyBytes the largest body of a request
 * @param seed the seed of random waits
 * @param logLevel the level of the log
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

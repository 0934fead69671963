package org.sassafrastrail.operator;

import java.util.List;

/**
 * The settings of the operators' command line.
 *
 * @param operator the operator's name, recorded with each change
 * @param linkKey the key shared by the fleet's links and operators
 * @param platformHost the host name or address of the platform
 * @param platformPort the port of the platform
 * @param platformPatienceMilliseconds the timeout of platform calls in milliseconds
 * @param routers the routers, each as {@code host:port}
 */
public record OperatorSettings(
        String operator,
        String linkKey,
        String platformHost,
        int platformPort,
        long platformPatienceMilliseconds,
        List<String> routers) {}

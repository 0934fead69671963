package org.sassafrastrail.operator;

import java.util.List;

/**
 * The settings of the operators' command line.
 *
 * @param operator who gives the orders
 * @param linkKey the shared key of the fleet's links and of operators
 * @param platformHost the platform's address
 * @param platformPort the platform's port
 * @param platformPatienceMilliseconds how long an answer may take
 * @param routers the routers, each as address and port with a colon between
 */
public record OperatorSettings(
        String operator,
        String linkKey,
        String platformHost,
        int platformPort,
        long platformPatienceMilliseconds,
        List<String> routers) {}

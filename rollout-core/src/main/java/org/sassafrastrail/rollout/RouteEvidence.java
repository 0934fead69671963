package org.sassafrastrail.rollout;

/**
 * The evidence on a version for one route.
 *
 * @param route the route
 * @param evidence the evidence
 */
public record RouteEvidence(String route, VersionEvidence evidence) {}

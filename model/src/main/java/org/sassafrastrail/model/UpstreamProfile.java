package org.sassafrastrail.model;

/**
 * What a sidecar tells about the upstream that it stands beside.
 *
 * @param target the model or service that it serves
 * @param version the version that it runs
 * @param failureDomain where it stands
 */
public record UpstreamProfile(TargetName target, VersionName version, FailureDomainName failureDomain) {}

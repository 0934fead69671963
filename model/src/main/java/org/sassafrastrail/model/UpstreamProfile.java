package org.sassafrastrail.model;

/**
 * The description of the upstream that a sidecar runs next to, as reported by the sidecar.
 *
 * @param target the model or service that it serves
 * @param version the version that it runs
 * @param failureDomain the failure domain that it runs in
 */
public record UpstreamProfile(TargetName target, VersionName version, FailureDomainName failureDomain) {}

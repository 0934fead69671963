package org.sassafrastrail.gate;

import java.time.Duration;

import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

/**
 * An upstream as it registered itself.
 *
 * @param identifier names this life of it
 * @param target the service or model that it serves
 * @param host its address
 * @param port its port
 * @param domain the failure domain that it is in
 * @param version the version of its software
 * @param slots how many requests it runs at once
 * @param draining whether it takes no new work because it is going to stop
 * @param coldRemaining how much longer it stays cold, counted from when it said so
 * @param startedAtMillis the wall-clock millisecond of its start, which tells lives under one identifier apart; 0 if unknown
 */
public record Upstream(
        UpstreamIdentifier identifier,
        TargetName target,
        String host,
        int port,
        FailureDomainName domain,
        String version,
        int slots,
        boolean draining,
        Duration coldRemaining,
        long startedAtMillis) {

    /** Tells whether the other entry is of the same process: an address or identifier alone may be used again. */
    boolean isSameIncarnation(Upstream other) {
        return identifier.equals(other.identifier)
                && host.equals(other.host)
                && port == other.port
                && startedAtMillis == other.startedAtMillis;
    }
}

package org.sassafrastrail.gate;

import java.time.Duration;

import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

/**
 * The registry entry of an upstream.
 *
 * @param identifier the identifier under which it is registered
 * @param target the service or model that it serves
 * @param host its host
 * @param port its port
 * @param domain its failure domain
 * @param version the version of its software
 * @param slots the number of requests that it can run concurrently
 * @param draining whether it accepts no new requests because it is shutting down
 * @param coldRemaining how much longer it stays cold, from the time of the entry
 * @param startedAtMillis its start in wall-clock milliseconds, which distinguishes incarnations with the same
 *     identifier; 0 if unknown
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

    /**
     * Returns which process of the upstream the entry is of.
     *
     * @return the incarnation
     */
    public UpstreamIncarnation incarnation() {
        return new UpstreamIncarnation(identifier.value(), startedAtMillis);
    }

    /** Returns whether the other entry is of the same process. An address or identifier alone may be reused. */
    boolean isSameIncarnation(Upstream other) {
        return identifier.equals(other.identifier)
                && host.equals(other.host)
                && port == other.port
                && startedAtMillis == other.startedAtMillis;
    }
}

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
 * @param entryNumber the number of the entry, which the upstream counts from its start; 0 if unknown
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
        long startedAtMillis,
        long entryNumber) {

    /**
     * Returns which process of the upstream the entry is of.
     *
     * @return the incarnation
     */
    public UpstreamIncarnation incarnation() {
        return new UpstreamIncarnation(identifier.value(), startedAtMillis);
    }

    /** Returns whether the entry says when the process started, so that a later one can be told from it. */
    boolean hasKnownStart() {
        return startedAtMillis > 0;
    }

    /** Returns whether the process numbered the other entry after this one. */
    boolean isNumberedBefore(Upstream other) {
        return entryNumber > 0 && other.entryNumber > entryNumber;
    }

    /** Returns the same entry of an upstream that drains. */
    Upstream asDraining() {
        return new Upstream(
                identifier,
                target,
                host,
                port,
                domain,
                version,
                slots,
                true,
                coldRemaining,
                startedAtMillis,
                entryNumber);
    }

    /** Returns whether the other entry is of the same process. An address or identifier alone may be reused. */
    boolean isSameIncarnation(Upstream other) {
        return identifier.equals(other.identifier)
                && host.equals(other.host)
                && port == other.port
                && startedAtMillis == other.startedAtMillis;
    }
}

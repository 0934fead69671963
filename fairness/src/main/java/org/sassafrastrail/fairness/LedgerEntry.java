package org.sassafrastrail.fairness;

/**
 * The service that one incarnation of a sidecar has given one client account. Only its writer changes an entry, so the
 * copy with the highest version is current, however often and in whatever order copies arrive.
 *
 * @param writer the sidecar and its incarnation
 * @param key the account and the model or service
 * @param service the service given, in {@link ServiceUnits}
 * @param lift the amount by which the account's total was raised after an idle period, in {@link ServiceUnits}
 * @param version the number of changes to this entry
 */
public record LedgerEntry(LedgerWriter writer, LedgerKey key, long service, long lift, long version) {

    static LedgerEntry empty(LedgerWriter writer, LedgerKey key) {
        return new LedgerEntry(writer, key, 0, 0, 0);
    }

    LedgerEntry charged(long amount) {
        return new LedgerEntry(writer, key, service + amount, lift, version + 1);
    }

    LedgerEntry lifted(long newLift) {
        return new LedgerEntry(writer, key, service, newLift, version + 1);
    }
}

package org.sassafrastrail.fairness;

/**
 * What one sidecar's life has given one client account. Only its writer changes it, so the entry with the highest
 * version is the right one, however often and in whatever order copies arrive.
 *
 * @param writer the sidecar's life
 * @param key the account and the model or service
 * @param service the service given, in {@link ServiceUnits}
 * @param lift what the account's total was raised by when it came back from idleness, in {@link ServiceUnits}
 * @param version counts the changes of this entry
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

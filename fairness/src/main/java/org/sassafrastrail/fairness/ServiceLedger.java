package org.sassafrastrail.fairness;

import java.util.Collection;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The service that client accounts have got over the whole fleet, as far as this node has heard. An account's total is
 * the sum of all writers' service and the highest lift: a lift given twice counts once.
 */
public final class ServiceLedger {

    /** Nothing is known. */
    public static final ServiceLedger EMPTY = new ServiceLedger(HashTreePMap.empty(), HashTreePMap.empty());

    private final PMap<LedgerKey, AccountEntries> accounts;
    private final PMap<EntryKey, LedgerEntry> unsent;

    private ServiceLedger(PMap<LedgerKey, AccountEntries> accounts, PMap<EntryKey, LedgerEntry> unsent) {
        this.accounts = accounts;
        this.unsent = unsent;
    }

    /**
     * Returns an account's total.
     *
     * @param key the account and the model or service
     * @return weighted service, in {@link ServiceUnits}
     */
    public long total(LedgerKey key) {
        return account(key).total();
    }

    /**
     * Takes over entries that are newer than the known ones and remembers them to be passed on.
     *
     * @param entries entries from another node, in any order, possibly repeated
     * @return the merged ledger
     */
    public ServiceLedger merge(Collection<LedgerEntry> entries) {
        return entries.stream().reduce(this, ServiceLedger::putIfNewer, (first, second) -> second);
    }

    /**
     * Charges service to an account; a negative amount settles an estimate that was too high.
     *
     * @param writer this node's life
     * @param key the account and the model or service
     * @param amount weighted service, in {@link ServiceUnits}
     * @return the charged ledger
     */
    public ServiceLedger charge(LedgerWriter writer, LedgerKey key, long amount) {
        return amount == 0 ? this : put(account(key).entry(writer, key).charged(amount));
    }

    /**
     * Raises an account's total to a floor, so that idleness saves up no credit.
     *
     * @param writer this node's life
     * @param key the account and the model or service
     * @param floor the least total of the accounts that are backlogged already
     * @return the ledger, in which the account's total is at least the floor
     */
    public ServiceLedger lift(LedgerWriter writer, LedgerKey key, long floor) {
        AccountEntries account = account(key);
        return account.total() >= floor ? this : put(account.entry(writer, key).lifted(floor - account.service()));
    }

    /**
     * Returns the entries that changed since they were last marked as sent.
     *
     * @return the entries
     */
    public List<LedgerEntry> unsent() {
        return List.copyOf(unsent.values());
    }

    /**
     * Marks all entries as sent.
     *
     * @return the ledger, with nothing to pass on
     */
    public ServiceLedger markedSent() {
        return unsent.isEmpty() ? this : new ServiceLedger(accounts, HashTreePMap.empty());
    }

    /**
     * Returns all entries, for a node that has just connected.
     *
     * @return the entries
     */
    public List<LedgerEntry> entries() {
        return accounts.values().stream()
                .flatMap(account -> account.entries().values().stream())
                .toList();
    }

    private ServiceLedger putIfNewer(LedgerEntry entry) {
        return isNewer(entry) ? put(entry) : this;
    }

    private boolean isNewer(LedgerEntry entry) {
        LedgerEntry known = account(entry.key()).entries().get(entry.writer());
        return known == null || known.version() < entry.version();
    }

    private ServiceLedger put(LedgerEntry entry) {
        AccountEntries changed = account(entry.key()).plus(entry);
        return new ServiceLedger(
                accounts.plus(entry.key(), changed), unsent.plus(new EntryKey(entry.writer(), entry.key()), entry));
    }

    private AccountEntries account(LedgerKey key) {
        return accounts.getOrDefault(key, AccountEntries.EMPTY);
    }

    /** Where an entry stands. */
    private record EntryKey(LedgerWriter writer, LedgerKey key) {}

    /** The entries of one account with their sum and highest lift, kept so that a total needs no walk. */
    private record AccountEntries(PMap<LedgerWriter, LedgerEntry> entries, long service, long lift) {

        static final AccountEntries EMPTY = new AccountEntries(HashTreePMap.empty(), 0, 0);

        long total() {
            return service + lift;
        }

        LedgerEntry entry(LedgerWriter writer, LedgerKey key) {
            LedgerEntry known = entries.get(writer);
            return known == null ? LedgerEntry.empty(writer, key) : known;
        }

        AccountEntries plus(LedgerEntry entry) {
            long before = entry(entry.writer(), entry.key()).service();
            return new AccountEntries(
                    entries.plus(entry.writer(), entry),
                    service - before + entry.service(),
                    Math.max(lift, entry.lift()));
        }
    }
}

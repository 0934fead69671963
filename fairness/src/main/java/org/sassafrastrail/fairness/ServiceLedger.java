package org.sassafrastrail.fairness;

import java.util.Collection;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The weighted service that client accounts have received across the whole fleet, as far as known at this node. Every
 * entry has a single writer and a version, so that merging is idempotent and independent of the order of messages. An
 * account's total is the sum of the service recorded by all writers plus the highest lift, so that concurrent lifts by
 * several writers count only once.
 */
public final class ServiceLedger {

    /** A ledger without entries. */
    public static final ServiceLedger EMPTY = new ServiceLedger(HashTreePMap.empty(), HashTreePMap.empty());

    private final PMap<LedgerKey, AccountEntries> accounts;
    private final PMap<EntryKey, LedgerEntry> unsent;

    private ServiceLedger(PMap<LedgerKey, AccountEntries> accounts, PMap<EntryKey, LedgerEntry> unsent) {
        this.accounts = accounts;
        this.unsent = unsent;
    }

    /**
     * Returns the total weighted service of an account.
     *
     * @param key the account and the model or service
     * @return the total, in {@link ServiceUnits}
     */
    public long total(LedgerKey key) {
        return account(key).total();
    }

    /**
     * Merges entries of another node. Entries that are newer than the known ones replace them and become
     * unsent, so that they are passed on.
     *
     * @param entries entries of another node, in any order, possibly with duplicates
     * @return the merged ledger
     */
    public ServiceLedger merge(Collection<LedgerEntry> entries) {
        return entries.stream().reduce(this, ServiceLedger::putIfNewer, (first, second) -> second);
    }

    /**
     * Charges service to an account. A negative amount corrects an estimate that was too high.
     *
     * @param writer this node and its incarnation
     * @param key the account and the model or service
     * @param amount weighted service, in {@link ServiceUnits}
     * @return the charged ledger
     */
    public ServiceLedger charge(LedgerWriter writer, LedgerKey key, long amount) {
        return amount == 0 ? this : put(account(key).entry(writer, key).charged(amount));
    }

    /**
     * Raises an account's total to a floor, so that an idle account does not accumulate credit.
     *
     * @param writer this node and its incarnation
     * @param key the account and the model or service
     * @param floor the lowest total of the accounts that are already backlogged
     * @return the ledger in which the account's total is at least the floor
     */
    public ServiceLedger lift(LedgerWriter writer, LedgerKey key, long floor) {
        AccountEntries account = account(key);
        return account.total() >= floor ? this : put(account.entry(writer, key).lifted(floor - account.service()));
    }

    /**
     * Returns the entries that changed since they were last marked as sent.
     *
     * @return the unsent entries
     */
    public List<LedgerEntry> unsent() {
        return List.copyOf(unsent.values());
    }

    /**
     * Returns this ledger with all entries marked as sent.
     *
     * @return the ledger without unsent entries
     */
    public ServiceLedger markedSent() {
        return unsent.isEmpty() ? this : new ServiceLedger(accounts, HashTreePMap.empty());
    }

    /**
     * Returns all entries, for a full report to a newly connected node.
     *
     * @return all entries
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

    /** Identifies an entry. */
    private record EntryKey(LedgerWriter writer, LedgerKey key) {}

    /** The entries of one account, with their sum and highest lift kept so that a total takes constant time. */
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
            long previousService = entry(entry.writer(), entry.key()).service();
            return new AccountEntries(
                    entries.plus(entry.writer(), entry),
                    service - previousService + entry.service(),
                    Math.max(lift, entry.lift()));
        }
    }
}

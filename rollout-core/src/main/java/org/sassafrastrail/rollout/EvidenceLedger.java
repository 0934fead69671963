package org.sassafrastrail.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.fairness.LedgerWriter;
import org.sassafrastrail.messages.EvidenceEntry;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.VersionName;

/**
 * The evidence on versions that this node has counted or received, from any number of sidecars. Every entry has a single
 * writer, so of two copies the one with more attempts is newer.
 */
public final class EvidenceLedger {

    /** A ledger without entries. */
    public static final EvidenceLedger EMPTY = new EvidenceLedger(HashTreePMap.empty(), HashTreePMap.empty());

    private final PMap<EntryKey, EvidenceEntry> entries;
    private final PMap<EntryKey, EvidenceEntry> unsent;

    private EvidenceLedger(PMap<EntryKey, EvidenceEntry> entries, PMap<EntryKey, EvidenceEntry> unsent) {
        this.entries = entries;
        this.unsent = unsent;
    }

    /**
     * Merges evidence of another node. Entries that are newer than the known ones replace them and become
     * unsent, so that they are passed on.
     *
     * @param received entries of another node, in any order, possibly with duplicates
     * @return the merged ledger
     */
    public EvidenceLedger merge(Collection<EvidenceEntry> received) {
        return received.stream().reduce(this, EvidenceLedger::putIfNewer, (first, second) -> second);
    }

    /**
     * Counts one attempt at this node's upstream.
     *
     * @param empty the entry to start from if there is none yet for its writer, move, version and route
     * @param count the function that counts the attempt
     * @return the ledger including the attempt
     */
    public EvidenceLedger count(EvidenceEntry empty, UnaryOperator<EvidenceEntry> count) {
        return put(count.apply(entries.getOrDefault(EntryKey.of(empty), empty)));
    }

    /**
     * Sums up the evidence on a version in a move.
     *
     * @param move the move
     * @param version the version
     * @return the evidence for each of its routes
     */
    public List<RouteEvidence> evidence(MoveIdentifier move, VersionName version) {
        return matching(move, version)
                .map(EvidenceEntry::route)
                .distinct()
                .sorted()
                .map(route -> new RouteEvidence(
                        route,
                        matching(move, version)
                                .filter(entry -> entry.route().equals(route))
                                .map(VersionEvidence::of)
                                .reduce(VersionEvidence.NONE, VersionEvidence::plus)))
                .toList();
    }

    /**
     * Returns the entries that changed since they were last marked as sent.
     *
     * @return the unsent entries
     */
    public List<EvidenceEntry> unsent() {
        return List.copyOf(unsent.values());
    }

    /**
     * Returns this ledger with all entries marked as sent.
     *
     * @return the ledger without unsent entries
     */
    public EvidenceLedger markedSent() {
        return unsent.isEmpty() ? this : new EvidenceLedger(entries, HashTreePMap.empty());
    }

    /**
     * Returns all entries, for a full report to a newly connected node.
     *
     * @return all entries
     */
    public List<EvidenceEntry> entries() {
        return List.copyOf(entries.values());
    }

    private Stream<EvidenceEntry> matching(MoveIdentifier move, VersionName version) {
        return entries.values().stream()
                .filter(entry -> entry.move().equals(move))
                .filter(entry -> entry.version().equals(version));
    }

    private EvidenceLedger putIfNewer(EvidenceEntry entry) {
        return isNewer(entry) ? put(entry) : this;
    }

    private boolean isNewer(EvidenceEntry entry) {
        EvidenceEntry known = entries.get(EntryKey.of(entry));
        return Objects.isNull(known) || known.attempts() < entry.attempts();
    }

    private EvidenceLedger put(EvidenceEntry entry) {
        return new EvidenceLedger(entries.plus(EntryKey.of(entry), entry), unsent.plus(EntryKey.of(entry), entry));
    }

    /** Identifies an entry. */
    private record EntryKey(LedgerWriter writer, MoveIdentifier move, VersionName version, String route) {

        static EntryKey of(EvidenceEntry entry) {
            return new EntryKey(entry.writer(), entry.move(), entry.version(), entry.route());
        }
    }
}

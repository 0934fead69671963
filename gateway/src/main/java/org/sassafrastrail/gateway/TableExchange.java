package org.sassafrastrail.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.sassafrastrail.durable.SharedTable;
import org.sassafrastrail.durable.WatchedTable;
import org.sassafrastrail.messages.CopyRequest;
import org.sassafrastrail.messages.TableCopy;
import org.sassafrastrail.messages.TableUpdate;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;

/** The local copies of the store's tables, which answer requests of peers and take over what peers send. */
final class TableExchange {

    private final Map<String, WatchedTable> copies = new ConcurrentHashMap<>();
    private final Map<String, SharedTable> followed = new ConcurrentHashMap<>();
    private final EventLog log;

    TableExchange(EventLog log) {
        this.log = log;
    }

    void share(String table, WatchedTable copy) {
        copies.put(table, copy);
    }

    void follow(String table, SharedTable sharedTable) {
        followed.put(table, sharedTable);
    }

    /** Returns the copy that a peer asked for, empty if it is not newer than what the peer has. */
    Optional<TableCopy> answer(CopyRequest request) {
        return Optional.ofNullable(copies.get(request.table()))
                .map(WatchedTable::snapshot)
                .filter(snapshot -> TableMapper.fromMessage(request).isBefore(snapshot.version()))
                .map(snapshot -> TableMapper.toMessage(request.table(), snapshot));
    }

    void received(TableUpdate update) {
        Optional.ofNullable(followed.get(update.table()))
                .ifPresent(table -> table.follow(TableMapper.fromMessage(update)));
    }

    void received(NodeName peer, TableCopy copy) {
        boolean applied = Optional.ofNullable(copies.get(copy.table()))
                .filter(table -> table.replaceIfNewer(TableMapper.fromMessage(copy)))
                .isPresent();
        if (applied) {
            log.info(
                    "copy-taken",
                    LogField.of("table", copy.table()),
                    LogField.of("version", copy.version()),
                    LogField.of("era", copy.era()),
                    LogField.of("peer", peer));
        }
    }
}

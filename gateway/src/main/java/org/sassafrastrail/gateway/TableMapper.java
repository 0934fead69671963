package org.sassafrastrail.gateway;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.sassafrastrail.durable.TableChanges;
import org.sassafrastrail.durable.TableRow;
import org.sassafrastrail.durable.WatchedTable;
import org.sassafrastrail.messages.CopiedRow;
import org.sassafrastrail.messages.RemovedRow;
import org.sassafrastrail.messages.TableCopy;
import org.sassafrastrail.messages.TableUpdate;

/** Converts tables of the store, and changes of them, between their form here and the messages on the wire. */
final class TableMapper {

    private TableMapper() {}

    static TableCopy toMessage(String table, WatchedTable.Snapshot snapshot) {
        return new TableCopy(table, snapshot.version(), written(snapshot.rows()));
    }

    static WatchedTable.Snapshot fromMessage(TableCopy copy) {
        return new WatchedTable.Snapshot(
                copy.version(), copy.rows().stream().map(TableMapper::toRow).toList());
    }

    static TableUpdate toMessage(String table, TableChanges changes) {
        List<RemovedRow> removed = changes.rows().stream()
                .filter(row -> row.value().isEmpty())
                .map(row -> new RemovedRow(row.key(), row.version()))
                .toList();
        return new TableUpdate(table, changes.fromVersion(), changes.version(), written(changes.rows()), removed);
    }

    static TableChanges fromMessage(TableUpdate update) {
        Stream<TableRow> removed =
                update.removed().stream().map(row -> new TableRow(row.key(), row.version(), Optional.empty()));
        return new TableChanges(
                update.fromVersion(),
                update.version(),
                Stream.concat(update.rows().stream().map(TableMapper::toRow), removed)
                        .toList());
    }

    private static List<CopiedRow> written(List<TableRow> rows) {
        return rows.stream()
                .flatMap(row -> row.value().map(value -> new CopiedRow(row.key(), row.version(), value)).stream())
                .toList();
    }

    private static TableRow toRow(CopiedRow row) {
        return new TableRow(row.key(), row.version(), Optional.of(row.value()));
    }
}

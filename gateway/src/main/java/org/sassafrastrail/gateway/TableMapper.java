package org.sassafrastrail.gateway;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.sassafrastrail.durable.StoreVersion;
import org.sassafrastrail.durable.TableChanges;
import org.sassafrastrail.durable.TableRow;
import org.sassafrastrail.durable.WatchedTable;
import org.sassafrastrail.messages.CopiedRow;
import org.sassafrastrail.messages.CopyRequest;
import org.sassafrastrail.messages.RemovedRow;
import org.sassafrastrail.messages.TableCopy;
import org.sassafrastrail.messages.TableUpdate;

/** Converts tables of the store, and changes of them, between their form here and the messages on the wire. */
final class TableMapper {

    private TableMapper() {}

    static TableCopy toMessage(String table, WatchedTable.Snapshot snapshot) {
        return new TableCopy(
                table,
                snapshot.version().number(),
                written(snapshot.rows()),
                snapshot.version().era());
    }

    static WatchedTable.Snapshot fromMessage(TableCopy copy) {
        return new WatchedTable.Snapshot(
                new StoreVersion(copy.era(), copy.version()),
                toRows(copy.era(), copy.rows()).toList());
    }

    static CopyRequest toMessage(String table, StoreVersion version) {
        return new CopyRequest(table, version.number(), version.era());
    }

    static StoreVersion fromMessage(CopyRequest request) {
        return new StoreVersion(request.era(), request.version());
    }

    static TableUpdate toMessage(String table, TableChanges changes) {
        List<RemovedRow> removed = changes.rows().stream()
                .filter(row -> row.value().isEmpty())
                .map(row -> new RemovedRow(row.key(), row.version().number()))
                .toList();
        return new TableUpdate(
                table,
                changes.fromVersion().number(),
                changes.version().number(),
                written(changes.rows()),
                removed,
                changes.version().era());
    }

    static TableChanges fromMessage(TableUpdate update) {
        long era = update.era();
        Stream<TableRow> removed = update.removed().stream()
                .map(row -> new TableRow(row.key(), new StoreVersion(era, row.version()), Optional.empty()));
        return new TableChanges(
                update.fromVersion() < 0 ? WatchedTable.NOT_LOADED : new StoreVersion(era, update.fromVersion()),
                new StoreVersion(era, update.version()),
                Stream.concat(toRows(era, update.rows()), removed).toList());
    }

    private static List<CopiedRow> written(List<TableRow> rows) {
        return rows.stream()
                .flatMap(row ->
                        row
                                .value()
                                .map(value ->
                                        new CopiedRow(row.key(), row.version().number(), value))
                                .stream())
                .toList();
    }

    private static Stream<TableRow> toRows(long era, List<CopiedRow> rows) {
        return rows.stream()
                .map(row -> new TableRow(row.key(), new StoreVersion(era, row.version()), Optional.of(row.value())));
    }
}

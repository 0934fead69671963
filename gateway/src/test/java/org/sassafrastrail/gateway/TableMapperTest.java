package org.sassafrastrail.gateway;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.durable.StoreVersion;
import org.sassafrastrail.durable.TableChanges;
import org.sassafrastrail.durable.TableRow;
import org.sassafrastrail.durable.WatchedTable;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the era of the store is not lost between gateways, where its versions alone mean nothing. */
class TableMapperTest {

    private static final StoreVersion FROM = new StoreVersion(3, 7);
    private static final StoreVersion VERSION = new StoreVersion(3, 9);

    private static final TableRow WRITTEN = new TableRow("written", VERSION, Optional.of(new byte[] {1}));
    private static final TableRow REMOVED = new TableRow("removed", VERSION, Optional.empty());

    @Test
    void copyKeepsItsEra() {
        WatchedTable.Snapshot snapshot = new WatchedTable.Snapshot(VERSION, List.of(WRITTEN));
        assertThat(TableMapper.fromMessage(TableMapper.toMessage("op", snapshot)))
                .isEqualTo(snapshot);
    }

    @Test
    void requestKeepsItsEra() {
        assertThat(TableMapper.fromMessage(TableMapper.toMessage("op", VERSION)))
                .isEqualTo(VERSION);
    }

    @Test
    void updateKeepsItsEra() {
        TableChanges changes = new TableChanges(FROM, VERSION, List.of(WRITTEN, REMOVED));
        assertThat(TableMapper.fromMessage(TableMapper.toMessage("op", changes)))
                .isEqualTo(changes);
    }

    /** Guards against a whole table in a later era that is taken for changes which continue no copy. */
    @Test
    void updateWithTheWholeTableStaysOne() {
        TableChanges changes = new TableChanges(WatchedTable.NOT_LOADED, VERSION, List.of(WRITTEN));
        assertThat(TableMapper.fromMessage(TableMapper.toMessage("op", changes)))
                .isEqualTo(changes);
    }
}

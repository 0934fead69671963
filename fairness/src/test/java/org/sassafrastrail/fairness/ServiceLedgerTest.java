package org.sassafrastrail.fairness;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceLedgerTest {

    private static final LedgerKey KEY = new LedgerKey(new TargetName("report"), new AccountName("kitchen"));
    private static final LedgerWriter FIRST = writer("sidecar-1", 1);
    private static final LedgerWriter SECOND = writer("sidecar-2", 1);

    private static LedgerWriter writer(String node, long incarnation) {
        return new LedgerWriter(new NodeName(node), new Incarnation(incarnation));
    }

    @Test
    void mergeIgnoresDuplicatesAndOrder() {
        List<LedgerEntry> entries = new ArrayList<>();
        ServiceLedger ledger = ServiceLedger.EMPTY;
        for (int charge = 1; charge <= 20; charge++) {
            ledger = ledger.charge(charge % 2 == 0 ? FIRST : SECOND, KEY, charge);
            entries.addAll(ledger.unsent());
        }
        entries.addAll(entries);
        Collections.shuffle(entries, new Random(1));

        assertThat(ServiceLedger.EMPTY.merge(entries).total(KEY)).isEqualTo(ledger.total(KEY));
    }

    @Test
    void concurrentLiftsCountOnce() {
        ServiceLedger first = ServiceLedger.EMPTY.lift(FIRST, KEY, 500);
        ServiceLedger second = ServiceLedger.EMPTY.lift(SECOND, KEY, 500);

        assertThat(first.merge(second.entries()).total(KEY)).isEqualTo(500);
    }

    @Test
    void serviceOfEarlierIncarnationIsKept() {
        ServiceLedger ledger = ServiceLedger.EMPTY.charge(FIRST, KEY, 100).charge(writer("sidecar-1", 2), KEY, 50);

        assertThat(ledger.total(KEY)).isEqualTo(150);
    }

    @Test
    void correctedEstimateLowersTotal() {
        ServiceLedger estimated = ServiceLedger.EMPTY.charge(FIRST, KEY, 100);
        ServiceLedger settled = estimated.charge(FIRST, KEY, -70);

        assertThat(ServiceLedger.EMPTY
                        .merge(settled.entries())
                        .merge(estimated.entries())
                        .total(KEY))
                .isEqualTo(30);
    }
}

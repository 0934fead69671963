package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.VirtualTable;
import org.sassafrastrail.durable.ConfigurationStore;
import org.sassafrastrail.durable.ControllerLeases;
import org.sassafrastrail.durable.IdempotencyKeys;
import org.sassafrastrail.durable.ObjectRead;
import org.sassafrastrail.durable.ObjectStore;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;

import static org.assertj.core.api.Assertions.assertThat;

/** Lost answers, outages and races at the platform's table. */
class PlatformProtocolsTest {

    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final String RULES = "domain a in # x\n";

    private final VirtualTable table = new VirtualTable();
    private final ConfigurationStore store = new ConfigurationStore(table, new Objects());

    /** An object store in memory. */
    private static final class Objects implements ObjectStore {

        private final Map<String, byte[]> objects = new HashMap<>();

        @Override
        public boolean put(String name, byte[] content) {
            objects.put(name, content);
            return true;
        }

        @Override
        public ObjectRead get(String name) {
            byte[] content = objects.get(name);
            return content == null ? new ObjectRead.Absent() : new ObjectRead.Found(content);
        }
    }

    @Test
    void aLostAnswerIsSettledByReadingBack() {
        table.loseAnswers(1);

        assertThat(store.propose(RULES, Revision.NONE, "karin", NOW))
                .isInstanceOf(ConfigurationStore.Change.Accepted.class);
        assertThat(store.current(Revision.NONE).orElseThrow().text()).isEqualTo(RULES);
    }

    @Test
    void theLoserOfARaceIsToldWhoWon() {
        store.propose(RULES, Revision.NONE, "karin", NOW);

        ConfigurationStore.Change second = store.propose("domain b in # y\n", Revision.NONE, "lars", NOW);
        assertThat(((ConfigurationStore.Change.Conflict) second).winner().changedBy())
                .isEqualTo("karin");
        assertThat(store.current(Revision.NONE).orElseThrow().changedBy()).isEqualTo("karin");
    }

    @Test
    void nothingIsSaidToBeAcceptedInAnOutage() {
        table.out(true);

        assertThat(store.propose(RULES, Revision.NONE, "karin", NOW))
                .isInstanceOf(ConfigurationStore.Change.Unconfirmed.class);
    }

    @Test
    void theHistoryNamesWhoChangedWhat() {
        store.propose(RULES, Revision.NONE, "karin", NOW);
        store.propose("", new Revision(1), "lars", NOW);

        assertThat(store.history(10)).extracting("changedBy").containsExactly("lars", "karin");
    }

    @Test
    void oneRequestHoldsAKeyAndCanGiveItUp() {
        IdempotencyKeys keys = new IdempotencyKeys(table);
        AccountName account = new AccountName("kitchen");
        RequestIdentifier first = new RequestIdentifier("first");
        RequestIdentifier second = new RequestIdentifier("second");

        table.loseAnswers(1);
        assertThat(keys.claim(account, "k", first)).isEqualTo(IdempotencyKeys.Claim.OWNED);
        assertThat(keys.claim(account, "k", second)).isEqualTo(IdempotencyKeys.Claim.HELD_BY_OTHER);
        keys.release(account, "k", second);
        assertThat(keys.claim(account, "k", second)).isEqualTo(IdempotencyKeys.Claim.HELD_BY_OTHER);
        keys.release(account, "k", first);
        assertThat(keys.claim(account, "k", second)).isEqualTo(IdempotencyKeys.Claim.OWNED);
    }

    @Test
    void aLapsedLeaseIsTakenOverWithAHigherFencingToken() {
        ControllerLeases first = lease("router-1");
        ControllerLeases second = lease("router-2");

        assertThat(first.seek(NOW)).isEqualTo(new ControllerLeases.Seeking.Held(1, NOW.plusSeconds(5)));
        assertThat(second.seek(NOW)).isEqualTo(new ControllerLeases.Seeking.HeldByOther());
        assertThat(second.seek(NOW.plusSeconds(4))).isEqualTo(new ControllerLeases.Seeking.HeldByOther());
        Instant later = NOW.plusSeconds(6);
        assertThat(second.seek(later)).isEqualTo(new ControllerLeases.Seeking.Held(2, later.plusSeconds(5)));
        assertThat(first.seek(later)).isEqualTo(new ControllerLeases.Seeking.HeldByOther());
    }

    private ControllerLeases lease(String node) {
        return new ControllerLeases(table, new NodeName(node), new Incarnation(1), Duration.ofSeconds(5));
    }
}

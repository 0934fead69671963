package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.InMemoryTable;
import org.sassafrastrail.durable.ControllerLeaseStore;
import org.sassafrastrail.durable.IdempotencyKeyStore;
import org.sassafrastrail.durable.ObjectReadResult;
import org.sassafrastrail.durable.ObjectStore;
import org.sassafrastrail.durable.RuleFileStore;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the stores over the platform's table under lost responses, outages and concurrent writes. */
class PlatformProtocolsTest {

    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final String RULES = "domain a in # x\n";

    private final InMemoryTable table = new InMemoryTable();
    private final RuleFileStore store = new RuleFileStore(table, new InMemoryObjectStore());

    private static final class InMemoryObjectStore implements ObjectStore {

        private final Map<String, byte[]> objects = new HashMap<>();

        @Override
        public boolean put(String name, byte[] content) {
            objects.put(name, content);
            return true;
        }

        @Override
        public ObjectReadResult get(String name) {
            byte[] content = objects.get(name);
            return content == null ? new ObjectReadResult.Absent() : new ObjectReadResult.Found(content);
        }
    }

    @Test
    void lostWriteResponseIsResolvedByReadingBack() {
        table.loseResponses(1);

        assertThat(store.propose(RULES, Revision.NONE, "karin", NOW))
                .isInstanceOf(RuleFileStore.ProposalResult.Accepted.class);
        assertThat(store.fetchIfNewer(Revision.NONE).orElseThrow().text()).isEqualTo(RULES);
    }

    @Test
    void conflictNamesAuthorOfCurrentRules() {
        store.propose(RULES, Revision.NONE, "karin", NOW);

        RuleFileStore.ProposalResult second = store.propose("domain b in # y\n", Revision.NONE, "lars", NOW);
        assertThat(((RuleFileStore.ProposalResult.Conflict) second).current().changedBy())
                .isEqualTo("karin");
        assertThat(store.fetchIfNewer(Revision.NONE).orElseThrow().changedBy()).isEqualTo("karin");
    }

    @Test
    void proposalDuringOutageIsUnconfirmed() {
        table.setUnavailable(true);

        assertThat(store.propose(RULES, Revision.NONE, "karin", NOW))
                .isInstanceOf(RuleFileStore.ProposalResult.Unconfirmed.class);
    }

    @Test
    void historyNamesAuthorOfEachRevision() {
        store.propose(RULES, Revision.NONE, "karin", NOW);
        store.propose("", new Revision(1), "lars", NOW);

        assertThat(store.history(10)).extracting("changedBy").containsExactly("lars", "karin");
    }

    @Test
    void onlyOwnerCanReleaseIdempotencyKey() {
        IdempotencyKeyStore keys = new IdempotencyKeyStore(table);
        AccountName account = new AccountName("kitchen");
        RequestIdentifier first = new RequestIdentifier("first");
        RequestIdentifier second = new RequestIdentifier("second");

        table.loseResponses(1);
        assertThat(keys.claim(account, "k", first)).isEqualTo(IdempotencyKeyStore.ClaimResult.OWNED);
        assertThat(keys.claim(account, "k", second)).isEqualTo(IdempotencyKeyStore.ClaimResult.HELD_BY_OTHER);
        keys.release(account, "k", second);
        assertThat(keys.claim(account, "k", second)).isEqualTo(IdempotencyKeyStore.ClaimResult.HELD_BY_OTHER);
        keys.release(account, "k", first);
        assertThat(keys.claim(account, "k", second)).isEqualTo(IdempotencyKeyStore.ClaimResult.OWNED);
    }

    @Test
    void expiredLeaseIsAcquiredWithHigherFencingToken() {
        ControllerLeaseStore first = leaseStore("router-1");
        ControllerLeaseStore second = leaseStore("router-2");

        assertThat(first.acquireOrRenew(NOW))
                .isEqualTo(new ControllerLeaseStore.AcquireResult.Held(1, NOW.plusSeconds(5)));
        assertThat(second.acquireOrRenew(NOW)).isEqualTo(new ControllerLeaseStore.AcquireResult.HeldByOther());
        assertThat(second.acquireOrRenew(NOW.plusSeconds(4)))
                .isEqualTo(new ControllerLeaseStore.AcquireResult.HeldByOther());
        Instant later = NOW.plusSeconds(6);
        assertThat(second.acquireOrRenew(later))
                .isEqualTo(new ControllerLeaseStore.AcquireResult.Held(2, later.plusSeconds(5)));
        assertThat(first.acquireOrRenew(later)).isEqualTo(new ControllerLeaseStore.AcquireResult.HeldByOther());
    }

    private static long token(ControllerLeaseStore.AcquireResult result) {
        return ((ControllerLeaseStore.AcquireResult.Held) result).fencingToken();
    }

    /** Guards against a token that is issued twice: the store has lost the take-over by the second router. */
    @Test
    void tokenIsNotIssuedAgainAfterTheTakeOverWasLost() {
        ControllerLeaseStore first = leaseStore("router-1");
        ControllerLeaseStore second = leaseStore("router-2");
        ControllerLeaseStore third = leaseStore("router-3");
        first.acquireOrRenew(NOW);
        table.copy();
        second.acquireOrRenew(NOW);
        Instant takenOver = NOW.plusSeconds(6);
        long lost = token(second.acquireOrRenew(takenOver));
        table.restore();

        assertThat(third.acquireOrRenew(takenOver)).isEqualTo(new ControllerLeaseStore.AcquireResult.HeldByOther());
        assertThat(token(third.acquireOrRenew(takenOver.plusSeconds(6)))).isGreaterThan(lost);
    }

    /** Guards against two holders: the restored row names the one before, while the second still holds the lease. */
    @Test
    void holderBeforeTheLostTakeOverWaitsUntilTheLeaseOfTheSecondIsOver() {
        ControllerLeaseStore first = leaseStore("router-1");
        ControllerLeaseStore second = leaseStore("router-2");
        first.acquireOrRenew(NOW);
        table.copy();
        second.acquireOrRenew(NOW);
        Instant takenOver = NOW.plusSeconds(6);
        long lost = token(second.acquireOrRenew(takenOver));
        table.restore();

        assertThat(first.acquireOrRenew(takenOver)).isEqualTo(new ControllerLeaseStore.AcquireResult.HeldByOther());
        assertThat(token(first.acquireOrRenew(takenOver.plusSeconds(6)))).isGreaterThan(lost);
    }

    /** Guards against two holders where the restored table has no lease at all. */
    @Test
    void lostLeaseIsNotAcquiredWhileItsHolderMayHoldIt() {
        ControllerLeaseStore first = leaseStore("router-1");
        ControllerLeaseStore second = leaseStore("router-2");
        table.copy();
        long lost = token(first.acquireOrRenew(NOW));
        table.restore();

        assertThat(second.acquireOrRenew(NOW)).isEqualTo(new ControllerLeaseStore.AcquireResult.HeldByOther());
        assertThat(token(first.acquireOrRenew(NOW.plusSeconds(1)))).isGreaterThan(lost);
    }

    /** Guards against a rule file that is accepted on the base of a revision that the store has lost. */
    @Test
    void proposalOnALostRevisionIsAConflict() {
        store.propose(RULES, Revision.NONE, "karin", NOW);
        table.copy();
        store.propose("", new Revision(1), "lars", NOW);
        table.restore();

        assertThat(store.propose("domain b in # y\n", new Revision(2), "lars", NOW))
                .isInstanceOf(RuleFileStore.ProposalResult.Conflict.class);
        assertThat(store.propose("", new Revision(1), "lars", NOW))
                .isInstanceOf(RuleFileStore.ProposalResult.Accepted.class);
    }

    private ControllerLeaseStore leaseStore(String node) {
        return new ControllerLeaseStore(table, new NodeName(node), new Incarnation(1), Duration.ofSeconds(5));
    }
}

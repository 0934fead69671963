package org.sassafrastrail.router;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sassafrastrail.durable.ControllerLeaseStore;
import org.sassafrastrail.durable.IdempotencyKeyStore;
import org.sassafrastrail.durable.MoveProgressStore;
import org.sassafrastrail.durable.ObjectReadResult;
import org.sassafrastrail.durable.ObjectStore;
import org.sassafrastrail.durable.RuleFileStore;
import org.sassafrastrail.durable.TableReadResult;
import org.sassafrastrail.durable.TableService;
import org.sassafrastrail.durable.TableWriteResult;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.router.core.RouterProcessEvent;
import org.sassafrastrail.router.core.RouterRequest;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests calls to the platform that end with a fault. */
@Timeout(30)
class PlatformClientTest {

    private static final RequestIdentifier REQUEST = new RequestIdentifier("lost");

    private final BlockingQueue<RouterProcessEvent> events = new LinkedBlockingQueue<>();
    private final TableService table = new FaultyTable();
    private final PlatformClient client = new PlatformClient(
            new RuleFileStore(table, new FaultyObjects()),
            new IdempotencyKeyStore(table),
            new ControllerLeaseStore(table, new NodeName("router"), new Incarnation(1), Duration.ofSeconds(5)),
            new MoveProgressStore(table),
            Clock.systemUTC(),
            () -> Revision.NONE,
            events::add);

    @AfterEach
    void stop() {
        client.stop();
    }

    /** Guards against a claim that was given up without a result, so that its request waited until its deadline. */
    @Test
    void claimThatEndsWithFaultGetsResult() throws Exception {
        RouterRequest request = new RouterRequest(
                REQUEST,
                new AccountName("guest"),
                new TargetName("desk"),
                "book",
                false,
                Optional.of("key"),
                0,
                Instant.EPOCH,
                Instant.MAX);
        client.claim(new RouterAction.ClaimIdempotencyKey(request, "key", Duration.ZERO));
        assertThat(events.poll(10, TimeUnit.SECONDS))
                .isEqualTo(new RouterProcessEvent.ForRouter(new RouterEvent.IdempotencyClaimCompleted(
                        REQUEST, RouterEvent.IdempotencyClaimResult.UNAVAILABLE)));
    }

    /** A table whose calls end with a fault. */
    private static final class FaultyTable implements TableService {

        @Override
        public TableReadResult read(String key) {
            throw new IllegalStateException("read");
        }

        @Override
        public TableWriteResult write(String key, String value, long expectedVersion) {
            throw new IllegalStateException("write");
        }

        @Override
        public TableWriteResult delete(String key, long expectedVersion) {
            throw new IllegalStateException("delete");
        }
    }

    /** An object store whose calls end with a fault. */
    private static final class FaultyObjects implements ObjectStore {

        @Override
        public boolean put(String name, byte[] content) {
            throw new IllegalStateException("put");
        }

        @Override
        public ObjectReadResult get(String name) {
            throw new IllegalStateException("get");
        }
    }
}

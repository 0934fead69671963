package org.sassafrastrail.gate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a gateway that restarts under load: many requests are queued before it receives the upstreams. */
class BacklogTest {

    /** The thread stack size of deployed gateways. */
    private static final int STACK_BYTES = 256 * 1024;

    private static final int REQUESTS = 2000;

    /** Guards against RECOVER: one pass over a backlog overflowed the stack of the control thread and terminated it. */
    @Test
    void longBacklogIsDispatchedOnSmallStack() throws Exception {
        CompletableFuture<Integer> queued = new CompletableFuture<>();
        Thread control =
                new Thread(null, () -> queued.complete(queuedAfterUpstreamsAreReceived()), "small", STACK_BYTES);
        control.setUncaughtExceptionHandler((thread, failure) -> queued.completeExceptionally(failure));
        control.start();
        assertThat(queued.get(1, TimeUnit.MINUTES)).isZero();
    }

    private static int queuedAfterUpstreamsAreReceived() {
        GatewayDriver gateway = new GatewayDriver();
        Route route = GatewayDriver.route("tell", GatewayDriver.MODEL, false, true, 1);
        LongStream.range(0, REQUESTS)
                .forEach(number ->
                        gateway.arrive(number, route, GatewayDriver.prompt("session-" + number, 10, 20), "account"));
        gateway.register(IntStream.range(0, REQUESTS / 4)
                .mapToObj(number -> GatewayDriver.upstream("engine-" + number, GatewayDriver.MODEL))
                .toArray(Upstream[]::new));
        return gateway.state().queued().size();
    }
}

package org.sassafrastrail.gate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** A gateway that comes back under load has many requests waiting when it learns of its upstreams. */
class BacklogTest {

    /** The stack of a thread as the gateway is deployed. */
    private static final int STACK_BYTES = 256 * 1024;

    private static final int REQUESTS = 2000;

    /** Guards against RECOVER: one pass over a backlog overflowed the control thread's stack, which ended it. */
    @Test
    void aBacklogOfAnyLengthIsSentOnASmallStack() throws Exception {
        CompletableFuture<Integer> waiting = new CompletableFuture<>();
        Thread control =
                new Thread(null, () -> waiting.complete(waitingAfterUpstreamsAreFound()), "small", STACK_BYTES);
        control.setUncaughtExceptionHandler((thread, failure) -> waiting.completeExceptionally(failure));
        control.start();
        assertThat(waiting.get(1, TimeUnit.MINUTES)).isZero();
    }

    private static int waitingAfterUpstreamsAreFound() {
        Gate gate = new Gate();
        Route tell = Gate.route("tell", Gate.MODEL, false, true, 1);
        LongStream.range(0, REQUESTS)
                .forEach(number -> gate.arrive(number, tell, Gate.prompt("session-" + number, 10, 20), "account"));
        gate.register(IntStream.range(0, REQUESTS / 4)
                .mapToObj(number -> Gate.upstream("engine-" + number, Gate.MODEL))
                .toArray(Upstream[]::new));
        return gate.state().waiting().size();
    }
}

package org.sassafrastrail.gateway;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(30)
class LeaveWatchTest {

    private final CountDownLatch watched = new CountDownLatch(1);
    private final CountDownLatch closed = new CountDownLatch(1);
    private final CompletableFuture<Boolean> noticed = new CompletableFuture<>();

    /** Holds the connection's thread while the caller closes, as a lack of processor time does. */
    private void hold(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            AtomicBoolean left = new AtomicBoolean();
            Runnable check = LeaveWatch.watch(exchange, () -> left.set(true));
            check.run();
            boolean leftEarly = left.get();
            watched.countDown();
            try {
                closed.await();
                TimeUnit.MILLISECONDS.sleep(50);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            check.run();
            noticed.complete(!leftEarly && left.get());
        });
    }

    @Test
    void aCloseThatArrivedWhileTheThreadWasHeldIsNoticedByTheCheck() throws Exception {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(this::hold)
                .build();
        server.start();
        try {
            int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
            try (Socket caller = new Socket("127.0.0.1", port)) {
                caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: here\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                watched.await();
            }
            closed.countDown();
            assertThat(noticed.get(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            server.stop();
        }
    }
}

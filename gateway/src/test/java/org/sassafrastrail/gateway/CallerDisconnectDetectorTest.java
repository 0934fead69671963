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
class CallerDisconnectDetectorTest {

    private final CountDownLatch watching = new CountDownLatch(1);
    private final CountDownLatch closed = new CountDownLatch(1);
    private final CompletableFuture<Boolean> detected = new CompletableFuture<>();

    /** Blocks the connection's thread while the caller closes, as a lack of processor time does. */
    private void blockThread(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            AtomicBoolean disconnected = new AtomicBoolean();
            Runnable check = CallerDisconnectDetector.watch(exchange, () -> disconnected.set(true));
            check.run();
            boolean disconnectedEarly = disconnected.get();
            watching.countDown();
            try {
                closed.await();
                TimeUnit.MILLISECONDS.sleep(50);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            check.run();
            detected.complete(!disconnectedEarly && disconnected.get());
        });
    }

    @Test
    void checkDetectsCloseThatArrivedWhileThreadWasBlocked() throws Exception {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(this::blockThread)
                .build();
        server.start();
        try {
            int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
            try (Socket caller = new Socket("127.0.0.1", port)) {
                caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: here\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                watching.await();
            }
            closed.countDown();
            assertThat(detected.get(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            server.stop();
        }
    }
}

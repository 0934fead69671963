package org.sassafrastrail.http;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.undertow.client.ClientConnection;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IdleConnectionsTest {

    private static final String SERVER = "127.0.0.1:1";
    private static final int ROUNDS = 2_000;
    private static final int CONNECTIONS = 20;

    private final IdleConnections idle = new IdleConnections(System::nanoTime);

    /** Guards against LOST: a connection that a thread had just taken was closed with the idle ones. */
    @Test
    void takenConnectionIsNotClosedWithTheIdleOnes() {
        for (int round = 0; round < ROUNDS; round++) {
            IntStream.range(0, CONNECTIONS).forEach(number -> idle.add(SERVER, connection()));
            CompletableFuture<Void> discarding = CompletableFuture.runAsync(() -> idle.discard(SERVER));
            List<CheckedConnection> taken = Stream.generate(() -> idle.take(SERVER))
                    .takeWhile(Optional::isPresent)
                    .flatMap(Optional::stream)
                    .toList();
            discarding.join();
            assertThat(taken)
                    .as("round %d", round)
                    .allMatch(connection -> connection.client().isOpen());
        }
    }

    private static CheckedConnection connection() {
        AtomicBoolean open = new AtomicBoolean(true);
        ClientConnection client = (ClientConnection) Proxy.newProxyInstance(
                ClientConnection.class.getClassLoader(),
                new Class<?>[] {ClientConnection.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "isOpen" -> open.get();
                    case "close" -> {
                        open.set(false);
                        yield null;
                    }
                    default -> null;
                });
        return new CheckedConnection(client, new ChunkChecker());
    }
}

package org.sassafrastrail.gateway;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.client.ClientConnection;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IdleUpstreamConnectionsTest {

    private static final Duration KEEP_ALIVE = Duration.ofSeconds(2);
    private static final int UPSTREAMS = 100;

    private final AtomicLong nanoTime = new AtomicLong();
    private final IdleUpstreamConnections idle = new IdleUpstreamConnections(nanoTime::get);

    @Test
    void connectionIsReusedWithinItsKeepAlive() {
        UpstreamConnection connection = connection(new AtomicBoolean(true));
        idle.add("one", connection, KEEP_ALIVE);
        nanoTime.addAndGet(Duration.ofSeconds(1).toNanos());
        assertThat(idle.take("one")).contains(connection);
        assertThat(idle.take("one")).isEmpty();
    }

    @Test
    void connectionIsClosedAfterItsKeepAlive() {
        AtomicBoolean open = new AtomicBoolean(true);
        idle.add("one", connection(open), KEEP_ALIVE);
        nanoTime.addAndGet(KEEP_ALIVE.toNanos());
        assertThat(idle.take("one")).isEmpty();
        assertThat(open).isFalse();
    }

    @Test
    void upstreamsThatComeAndGoStayLevel() {
        AtomicBoolean open = new AtomicBoolean(true);
        idle.add("gone", connection(open), KEEP_ALIVE);
        for (int number = 0; number < UPSTREAMS; number++) {
            nanoTime.addAndGet(Duration.ofSeconds(1).toNanos());
            idle.add("upstream-" + number, connection(new AtomicBoolean(true)), KEEP_ALIVE);
        }
        assertThat(idle.addresses()).isLessThan(5);
        assertThat(open).isFalse();
    }

    private static UpstreamConnection connection(AtomicBoolean open) {
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
        return new UpstreamConnection(client, null, null);
    }
}

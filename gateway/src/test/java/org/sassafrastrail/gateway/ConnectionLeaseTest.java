package org.sassafrastrail.gateway;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.undertow.client.ClientConnection;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against LOST: an attempt closed or released a connection a second time, while another attempt was using it. */
class ConnectionLeaseTest {

    private static final Duration KEEP_ALIVE = Duration.ofSeconds(2);

    private final AtomicInteger closed = new AtomicInteger();
    private final List<UpstreamConnection> released = new ArrayList<>();
    private final ConnectionLease lease = new ConnectionLease(
            new UpstreamConnection(connection(closed), null, null),
            (connection, keepAlive) -> released.add(connection));

    /** What an attempt does with its lease. */
    private enum Use {
        RELEASE(lease -> lease.release(KEEP_ALIVE)),
        CLOSE(ConnectionLease::close),
        CLOSE_LATER(lease -> lease.closeAfter(KEEP_ALIVE));

        private final Consumer<ConnectionLease> use;

        Use(Consumer<ConnectionLease> use) {
            this.use = use;
        }
    }

    static Stream<Arguments> usesAfterTheEnd() {
        return Stream.of(Use.RELEASE, Use.CLOSE)
                .flatMap(end -> Stream.of(Use.values()).map(later -> Arguments.of(end, later)));
    }

    @ParameterizedTest
    @MethodSource("usesAfterTheEnd")
    void nothingHappensToTheConnectionAfterTheEnd(Use end, Use later) {
        end.use.accept(lease);
        int closedAtEnd = closed.get();
        later.use.accept(lease);
        assertThat(closed).hasValue(closedAtEnd);
        assertThat(released).hasSize(end == Use.RELEASE ? 1 : 0);
        assertThat(closedAtEnd > 0).isEqualTo(end == Use.CLOSE);
        assertThatThrownBy(lease::connection).isInstanceOf(IllegalStateException.class);
    }

    private static ClientConnection connection(AtomicInteger closed) {
        return (ClientConnection) Proxy.newProxyInstance(
                ClientConnection.class.getClassLoader(),
                new Class<?>[] {ClientConnection.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "isOpen" -> closed.get() == 0;
                    case "close" -> {
                        closed.incrementAndGet();
                        yield null;
                    }
                    default -> null;
                });
    }
}

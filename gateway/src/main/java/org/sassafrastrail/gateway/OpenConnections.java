package org.sassafrastrail.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import org.xnio.IoUtils;

/** The callers' open connections, and which request each carries. */
final class OpenConnections {

    /** In place of a request's number while a connection carries none. */
    private static final long IDLE = 0;

    private final Map<ServerConnection, AtomicLong> carried = new ConcurrentHashMap<>();
    private final LongConsumer closed;
    private volatile boolean closing;

    /**
     * Makes the list.
     *
     * @param closed is told the number of the request that a connection carried when it closed
     */
    OpenConnections(LongConsumer closed) {
        this.closed = closed;
    }

    /** Notes that a connection carries a request from the arrival of its head to the end of its answer. */
    void carries(HttpServerExchange exchange, long number) {
        AtomicLong current = carried.computeIfAbsent(exchange.getConnection(), this::added);
        current.set(number);
        exchange.addExchangeCompleteListener((done, next) -> {
            current.compareAndSet(number, IDLE);
            next.proceed();
            if (closing) {
                IoUtils.safeClose(done.getConnection());
            }
        });
    }

    private AtomicLong added(ServerConnection connection) {
        AtomicLong current = new AtomicLong(IDLE);
        connection.addCloseListener(gone -> {
            carried.remove(gone);
            if (current.get() != IDLE) {
                closed.accept(current.get());
            }
        });
        return current;
    }

    /** Closes each connection as soon as it carries no request, from now on. */
    void closeWhenIdle() {
        closing = true;
        carried.forEach((connection, current) -> {
            if (current.get() == IDLE) {
                connection.getIoThread().execute(() -> {
                    if (current.get() == IDLE) {
                        IoUtils.safeClose(connection);
                    }
                });
            }
        });
    }
}

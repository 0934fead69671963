package org.sassafrastrail.gateway;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import org.xnio.IoUtils;

/** Tracks the open connections of callers and the request in flight on each, and limits the number of connections. */
final class OpenConnections {

    /** Stands for the call number while a connection has no request in flight. */
    private static final long IDLE = 0;

    private final Map<ServerConnection, AtomicLong> callNumbers = new ConcurrentHashMap<>();
    /** The idle connections, the longest idle first. */
    private final Set<ServerConnection> idle = Collections.synchronizedSet(new LinkedHashSet<>());

    private final int limit;
    private final Runnable onClosedOverLimit;
    private final LongConsumer onClosed;
    private volatile boolean closing;

    /**
     * Creates a tracker without connections.
     *
     * @param limit the number of open connections above which each new one closes the longest idle one
     * @param onClosedOverLimit called for each connection closed over the limit
     * @param onClosed called with the call number if a connection closed with a request in flight
     */
    OpenConnections(int limit, Runnable onClosedOverLimit, LongConsumer onClosed) {
        this.limit = limit;
        this.onClosedOverLimit = onClosedOverLimit;
        this.onClosed = onClosed;
    }

    /** Marks a connection as busy from the arrival of a request head to the end of the response. */
    void requestStarted(HttpServerExchange exchange, long number) {
        AtomicLong current = callNumbers.computeIfAbsent(exchange.getConnection(), this::connectionOpened);
        current.set(number);
        idle.remove(exchange.getConnection());
        if (callNumbers.size() > limit && !closeLongestIdle()) {
            exchange.setPersistent(false);
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            current.compareAndSet(number, IDLE);
            if (callNumbers.containsKey(done.getConnection())) {
                idle.add(done.getConnection());
            }
            next.proceed();
            if (closing) {
                IoUtils.safeClose(done.getConnection());
            }
        });
    }

    private AtomicLong connectionOpened(ServerConnection connection) {
        AtomicLong current = new AtomicLong(IDLE);
        connection.addCloseListener(closed -> {
            callNumbers.remove(closed);
            idle.remove(closed);
            if (current.get() != IDLE) {
                onClosed.accept(current.get());
            }
        });
        return current;
    }

    /** Returns whether there was an idle connection. */
    private boolean closeLongestIdle() {
        Optional<ServerConnection> longestIdle;
        synchronized (idle) {
            longestIdle = idle.stream().findFirst();
        }
        longestIdle.ifPresent(connection -> {
            idle.remove(connection);
            onClosedOverLimit.run();
            closeIfIdle(connection, callNumbers.get(connection));
        });
        return longestIdle.isPresent();
    }

    /** Returns the number of open connections that have carried at least one request. */
    int count() {
        return callNumbers.size();
    }

    /** From now on, closes each connection as soon as it has no request in flight. */
    void closeWhenIdle() {
        closing = true;
        callNumbers.forEach((connection, current) -> {
            if (current.get() == IDLE) {
                closeIfIdle(connection, current);
            }
        });
    }

    private static void closeIfIdle(ServerConnection connection, AtomicLong current) {
        connection.getIoThread().execute(() -> {
            if (current == null || current.get() == IDLE) {
                IoUtils.safeClose(connection);
            }
        });
    }
}

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

/** The callers' open connections, which request each carries, and a limit on their number. */
final class OpenConnections {

    /** In place of a request's number while a connection carries none. */
    private static final long IDLE = 0;

    private final Map<ServerConnection, AtomicLong> callNumbers = new ConcurrentHashMap<>();
    /** Those that carry none, the longest idle first. */
    private final Set<ServerConnection> idle = Collections.synchronizedSet(new LinkedHashSet<>());

    private final int limit;
    private final Runnable onClosedOverLimit;
    private final LongConsumer onClosed;
    private volatile boolean closing;

    /**
     * Makes the list.
     *
     * @param most how many may be open before the longest idle one is closed for each new one
     * @param overLimit is told of each of those
     * @param closed is told the number of the request that a connection carried when it closed
     */
    OpenConnections(int limit, Runnable onClosedOverLimit, LongConsumer onClosed) {
        this.limit = limit;
        this.onClosedOverLimit = onClosedOverLimit;
        this.onClosed = onClosed;
    }

    /** Notes that a connection carries a request from the arrival of its head to the end of its answer. */
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

    /** Tells whether there was one. */
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

    /** Returns how many are open that have carried a request. */
    int count() {
        return callNumbers.size();
    }

    /** Closes each connection as soon as it carries no request, from now on. */
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

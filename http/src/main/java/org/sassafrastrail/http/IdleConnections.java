package org.sassafrastrail.http;

import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import org.xnio.IoUtils;

/**
 * The idle connections of a client, by server. A connection may go silent without a reset, mostly together with others to the
 * same server, so one that failed takes the idle ones with it, and none is reused after a long time. Thread-safe.
 */
final class IdleConnections {

    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(15);

    private final LongSupplier nanoTime;
    private final Map<String, Deque<Idle>> idle = new ConcurrentHashMap<>();

    /**
     * Creates the collection.
     *
     * @param nanoTime the time in nanoseconds, as {@link System#nanoTime}
     */
    IdleConnections(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    private record Idle(CheckedConnection connection, long sinceNanos) {}

    /** Removes and returns the connection that was used last, empty if none can be reused. */
    Optional<CheckedConnection> take(String server) {
        Deque<Idle> connections = idle.get(server);
        Idle next = connections == null ? null : connections.pollFirst();
        if (next == null) {
            return Optional.empty();
        }
        if (next.connection().client().isOpen() && nanoTime.getAsLong() - next.sinceNanos() < MAX_IDLE_TIME.toNanos()) {
            return Optional.of(next.connection());
        }
        IoUtils.safeClose(next.connection().client());
        return take(server);
    }

    void add(String server, CheckedConnection connection) {
        if (connection.client().isOpen()) {
            idle.computeIfAbsent(server, name -> new ConcurrentLinkedDeque<>())
                    .addFirst(new Idle(connection, nanoTime.getAsLong()));
        }
    }

    /** Closes the idle connections to a server. Each is removed first, so that none is closed that another thread has taken. */
    void discard(String server) {
        Deque<Idle> connections = idle.getOrDefault(server, new ConcurrentLinkedDeque<>());
        Stream.generate(connections::pollFirst)
                .takeWhile(Objects::nonNull)
                .forEach(each -> IoUtils.safeClose(each.connection().client()));
    }

    /** Closes all idle connections. */
    void discardAll() {
        idle.keySet().forEach(this::discard);
    }
}

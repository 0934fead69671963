package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/** The idle connections to upstreams, by address. Confined to one I/O thread. */
final class IdleUpstreamConnections {

    /** Upstreams close idle connections after their keep-alive time; no request may be sent at that moment. */
    private static final double USABLE_SHARE_OF_KEEP_ALIVE = 0.7;

    private static final Duration REMOVAL_INTERVAL = Duration.ofSeconds(1);

    private final LongSupplier nanoTime;
    private final Map<String, Deque<Idle>> idle = new HashMap<>();
    private long removedAtNanos;

    /**
     * Creates the collection.
     *
     * @param nanoTime the time in nanoseconds, as {@link System#nanoTime}
     */
    IdleUpstreamConnections(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.removedAtNanos = nanoTime.getAsLong();
    }

    private record Idle(UpstreamConnection connection, long usableUntilNanos) {

        boolean isUsable(long nanoTime) {
            return connection.client().isOpen() && nanoTime - usableUntilNanos < 0;
        }
    }

    void add(String address, UpstreamConnection connection, Duration keepAlive) {
        long now = nanoTime.getAsLong();
        removeUnusableIfDue(now);
        long usable = Math.round(keepAlive.toNanos() * USABLE_SHARE_OF_KEEP_ALIVE);
        idle.computeIfAbsent(address, name -> new ArrayDeque<>()).push(new Idle(connection, now + usable));
    }

    /** Closes what can't be reused, because nothing is taken any more from an upstream that is gone. */
    private void removeUnusableIfDue(long now) {
        if (now - removedAtNanos >= REMOVAL_INTERVAL.toNanos()) {
            removedAtNanos = now;
            idle.values().forEach(connections -> connections.removeIf(each -> closeIfUnusable(each, now)));
            idle.values().removeIf(Deque::isEmpty);
        }
    }

    private static boolean closeIfUnusable(Idle each, long now) {
        if (each.isUsable(now)) {
            return false;
        }
        TransportCloser.close(each.connection().client());
        return true;
    }

    /** Removes and returns the connection that was used last, empty if none can be reused. */
    Optional<UpstreamConnection> take(String address) {
        Deque<Idle> connections = idle.getOrDefault(address, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            Idle next = connections.pop();
            if (next.isUsable(nanoTime.getAsLong())) {
                return Optional.of(next.connection());
            }
            TransportCloser.close(next.connection().client());
        }
        return Optional.empty();
    }

    /** Returns how many addresses have connections. */
    int addresses() {
        return idle.size();
    }
}

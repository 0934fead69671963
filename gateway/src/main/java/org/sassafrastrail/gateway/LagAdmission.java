package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.function.Supplier;

/** Admits a request if this process comes to it within the time that the request may be held. */
final class LagAdmission implements Admission {

    /** So far behind, a process has more callers than it can serve or even refuse in time. */
    private static final Duration OVERLOADED = Duration.ofMillis(400);

    private final Supplier<Duration> behind;
    private final double mostHeldShareOfAim;
    private final int mostConnections;

    LagAdmission(Supplier<Duration> behind, double mostHeldShareOfAim, int mostConnections) {
        this.behind = behind;
        this.mostHeldShareOfAim = mostHeldShareOfAim;
        this.mostConnections = mostConnections;
    }

    @Override
    public boolean admits(Duration aim) {
        return behind.get().toNanos() <= aim.toNanos() * mostHeldShareOfAim;
    }

    @Override
    public boolean keepsUp() {
        return behind.get().compareTo(OVERLOADED) < 0;
    }

    @Override
    public int mostConnections() {
        return mostConnections;
    }
}

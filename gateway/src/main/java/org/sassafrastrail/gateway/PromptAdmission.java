package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.function.Supplier;

import org.sassafrastrail.gate.Route;

/** Admits a request if this process comes to it within the time that the request may be held. */
final class PromptAdmission implements Admission {

    private final Supplier<Duration> behind;
    private final double mostHeldShareOfAim;
    private final int mostConnections;

    PromptAdmission(Supplier<Duration> behind, double mostHeldShareOfAim, int mostConnections) {
        this.behind = behind;
        this.mostHeldShareOfAim = mostHeldShareOfAim;
        this.mostConnections = mostConnections;
    }

    @Override
    public boolean admits(Route route) {
        return behind.get().toNanos() <= route.aim().toNanos() * mostHeldShareOfAim;
    }

    @Override
    public int mostConnections() {
        return mostConnections;
    }
}

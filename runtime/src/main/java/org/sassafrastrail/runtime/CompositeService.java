package org.sassafrastrail.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A service composed of others, which start in order and stop in the reverse order. If one fails to start, those that
 * have started are stopped again.
 */
public final class CompositeService implements Service {

    private final List<Service> services;
    private final Deque<Service> started = new ArrayDeque<>();

    /**
     * Creates a composite of services.
     *
     * @param services the services in starting order
     */
    public CompositeService(List<? extends Service> services) {
        this.services = List.copyOf(services);
    }

    @Override
    public synchronized void start() {
        services.forEach(this::start);
    }

    private void start(Service service) {
        try {
            service.start();
            started.push(service);
        } catch (RuntimeException failure) {
            stop();
            throw failure;
        }
    }

    @Override
    public synchronized void stop() {
        started.forEach(Service::stop);
        started.clear();
    }
}

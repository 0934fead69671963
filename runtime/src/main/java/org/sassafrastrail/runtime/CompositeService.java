package org.sassafrastrail.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Several services as one: started in order and stopped in the reverse order. */
public final class CompositeService implements Service {

    private final List<Service> services;
    private final Deque<Service> started = new ArrayDeque<>();

    /**
     * Puts services together.
     *
     * @param services the services, in the order of their start
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

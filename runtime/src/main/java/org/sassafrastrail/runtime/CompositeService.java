package org.sassafrastrail.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Several services as one: started in order and stopped in the reverse order. */
public final class CompositeService implements Service {

    private final List<Service> parts;
    private final Deque<Service> started = new ArrayDeque<>();

    /**
     * Puts services together.
     *
     * @param parts the services, in the order of their start
     */
    public CompositeService(List<? extends Service> parts) {
        this.parts = List.copyOf(parts);
    }

    @Override
    public synchronized void start() {
        parts.forEach(this::start);
    }

    private void start(Service part) {
        try {
            part.start();
            started.push(part);
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

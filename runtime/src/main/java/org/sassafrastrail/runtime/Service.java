package org.sassafrastrail.runtime;

/** A component of a daemon that acquires resources on start and releases them on stop. */
public interface Service {

    /**
     * Acquires the resources.
     *
     * @throws ServiceStartException if a resource can't be acquired
     */
    void start();

    /** Releases the resources. Further calls have no effect. */
    void stop();
}

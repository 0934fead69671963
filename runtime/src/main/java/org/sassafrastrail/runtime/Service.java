package org.sassafrastrail.runtime;

/** A part of a daemon that owns resources. */
public interface Service {

    /**
     * Takes the resources.
     *
     * @throws ServiceStartException if a resource can't be had
     */
    void start();

    /** Frees the resources. Stopping twice does no harm. */
    void stop();
}

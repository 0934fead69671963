package org.sassafrastrail.runtime;

/** Thrown when a service can't start, for instance because its port is in use. */
public final class ServiceStartException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param service the service or resource that is unavailable, for instance a port
     * @param cause the cause of the failure
     */
    public ServiceStartException(String service, Throwable cause) {
        super(service + ": " + cause.getMessage(), cause);
    }
}

package org.sassafrastrail.runtime;

/** A service could not start, for instance because its port is taken. */
public final class ServiceStartException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Says which service failed.
     *
     * @param service the service
     * @param cause why
     */
    public ServiceStartException(String service, Throwable cause) {
        super(service + ": " + cause.getMessage(), cause);
    }
}

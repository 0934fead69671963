package org.sassafrastrail.gateway;

/** Thrown when an upstream's response exceeds a limit of size or memory. The message says which. */
final class ResponseLimitException extends Exception {

    private static final long serialVersionUID = 1L;

    ResponseLimitException(String message) {
        super(message);
    }
}

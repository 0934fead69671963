package org.sassafrastrail.gateway;

/**
 * Thrown when an upstream's response cannot be forwarded to its end, because it exceeds a limit of size or memory or is
 * garbled. The message says which.
 */
final class UnusableResponseException extends Exception {

    private static final long serialVersionUID = 1L;

    UnusableResponseException(String message) {
        super(message);
    }
}

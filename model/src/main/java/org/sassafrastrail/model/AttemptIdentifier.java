package org.sassafrastrail.model;

/**
 * Identifies one attempt at a request. Responses are matched by it, so that the responses of two attempts are never
 * mixed.
 *
 * @param request the identifier of the request
 * @param number the number of the attempt, starting at 1
 */
public record AttemptIdentifier(RequestIdentifier request, int number) {

    /** Validates that the number is at least 1. */
    public AttemptIdentifier {
        if (number < 1) {
            throw new IllegalArgumentException("attempt number must be at least 1");
        }
    }
}

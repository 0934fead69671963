package org.sassafrastrail.model;

/**
 * Identifies one attempt at a request. Answers are matched by it, so that answers of two attempts are never mixed.
 *
 * @param request the request
 * @param number 1 for the first attempt
 */
public record AttemptIdentifier(RequestIdentifier request, int number) {

    /** Checks the number. */
    public AttemptIdentifier {
        if (number < 1) {
            throw new IllegalArgumentException("attempt number must be at least 1");
        }
    }
}

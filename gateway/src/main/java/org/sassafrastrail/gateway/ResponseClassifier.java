package org.sassafrastrail.gateway;

import java.util.Set;

import io.undertow.util.StatusCodes;

/**
 * Tells what an upstream's answer means: whose it is, whether the request ran, and whether it goes on with what the caller
 * has already. A status alone proves nothing, because a faulty upstream may write an earlier answer once more.
 */
final class ResponseClassifier {

    private static final int MISDIRECTED = 421;

    /** Statuses that promise a caller that its request did not run. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(
            StatusCodes.REQUEST_TIME_OUT, MISDIRECTED, StatusCodes.TOO_MANY_REQUESTS, StatusCodes.SERVICE_UNAVAILABLE);

    private ResponseClassifier() {}

    /**
     * Judges an answer.
     *
     * @param request the identifier of the request that the answer should belong to
     * @param answer what its head says
     * @param begun whether the caller has the beginning of a stream of events already
     * @return what it means
     */
    static ResponseKind classify(String requestIdentifier, ResponseFacts response, boolean streamStarted) {
        if (response.belongsToAnother(requestIdentifier)) {
            return ResponseKind.FOREIGN;
        }
        if (response.notExecuted()) {
            return classifyNotExecuted(requestIdentifier, response);
        }
        if (NOT_EXECUTED_STATUSES.contains(response.status())) {
            return ResponseKind.UNPROVEN;
        }
        if (streamStarted) {
            return continuesStream(requestIdentifier, response) ? ResponseKind.ANSWERED : ResponseKind.UNFITTING;
        }
        if (response.status() >= StatusCodes.INTERNAL_SERVER_ERROR) {
            return ResponseKind.FAILED;
        }
        return isAuthenticated(requestIdentifier, response) || response.status() >= StatusCodes.BAD_REQUEST
                ? ResponseKind.ANSWERED
                : ResponseKind.FOREIGN;
    }

    private static ResponseKind classifyNotExecuted(String requestIdentifier, ResponseFacts response) {
        if (!response.belongsTo(requestIdentifier)) {
            return ResponseKind.UNPROVEN;
        }
        return response.status() == MISDIRECTED ? ResponseKind.WRONG_UPSTREAM : ResponseKind.DECLINED;
    }

    private static boolean continuesStream(String requestIdentifier, ResponseFacts response) {
        return response.status() == StatusCodes.OK
                && response.eventStream()
                && isAuthenticated(requestIdentifier, response);
    }

    private static boolean isAuthenticated(String requestIdentifier, ResponseFacts response) {
        return response.belongsTo(requestIdentifier) && response.hasReceipt() && !response.contentEncoded();
    }
}

package org.sassafrastrail.gateway;

import java.util.Set;

import io.undertow.util.StatusCodes;

/**
 * Classifies an upstream's response: whether it belongs to the request, whether the request ran, and whether it continues
 * the stream that the caller has received a part of. A status alone proves nothing, because a faulty upstream may send an
 * earlier response again. An informational response is not the response to a request.
 */
final class ResponseClassifier {

    private static final int MISDIRECTED = 421;
    private static final int MAX_STATUS = 599;

    /** Statuses that tell a client that its request was not executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(
            StatusCodes.REQUEST_TIME_OUT, MISDIRECTED, StatusCodes.TOO_MANY_REQUESTS, StatusCodes.SERVICE_UNAVAILABLE);

    private ResponseClassifier() {}

    /**
     * Classifies a response.
     *
     * @param requestIdentifier the identifier of the request that the response should belong to
     * @param response the facts from the head of the response
     * @param streamStarted whether a part of a stream of events has been sent to the caller
     * @return the kind of response
     */
    static ResponseKind classify(String requestIdentifier, ResponseFacts response, boolean streamStarted) {
        if (!isFinal(response.status()) || response.belongsToAnother(requestIdentifier)) {
            return ResponseKind.FOREIGN;
        }
        if (response.notExecuted()) {
            return classifyNotExecuted(requestIdentifier, response);
        }
        if (NOT_EXECUTED_STATUSES.contains(response.status())) {
            return ResponseKind.UNPROVEN;
        }
        if (!response.belongsTo(requestIdentifier)) {
            return ResponseKind.FOREIGN;
        }
        if (streamStarted) {
            return continuesStream(response) ? ResponseKind.ANSWERED : ResponseKind.UNFITTING;
        }
        if (response.status() >= StatusCodes.INTERNAL_SERVER_ERROR) {
            return ResponseKind.FAILED;
        }
        return isAuthenticated(response) || response.status() >= StatusCodes.BAD_REQUEST
                ? ResponseKind.ANSWERED
                : ResponseKind.FOREIGN;
    }

    /** Informational responses are followed by another one, and a status beyond the five classes is no status at all. */
    private static boolean isFinal(int status) {
        return status >= StatusCodes.OK && status <= MAX_STATUS;
    }

    private static ResponseKind classifyNotExecuted(String requestIdentifier, ResponseFacts response) {
        if (!response.belongsTo(requestIdentifier)) {
            return ResponseKind.UNPROVEN;
        }
        return response.status() == MISDIRECTED ? ResponseKind.WRONG_UPSTREAM : ResponseKind.DECLINED;
    }

    private static boolean continuesStream(ResponseFacts response) {
        return response.status() == StatusCodes.OK && response.eventStream() && isAuthenticated(response);
    }

    private static boolean isAuthenticated(ResponseFacts response) {
        return response.hasReceipt() && !response.contentEncoded();
    }
}

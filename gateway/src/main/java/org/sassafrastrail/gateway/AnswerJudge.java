package org.sassafrastrail.gateway;

import java.util.Set;

import io.undertow.util.StatusCodes;

/**
 * Tells what an upstream's answer means: whose it is, whether the request ran, and whether it goes on with what the caller
 * has already. A status alone proves nothing, because a faulty upstream may write an earlier answer once more.
 */
final class AnswerJudge {

    private static final int MISDIRECTED = 421;

    /** Statuses that promise a caller that its request did not run. */
    private static final Set<Integer> PROMISES = Set.of(
            StatusCodes.REQUEST_TIME_OUT, MISDIRECTED, StatusCodes.TOO_MANY_REQUESTS, StatusCodes.SERVICE_UNAVAILABLE);

    private AnswerJudge() {}

    /**
     * Judges an answer.
     *
     * @param request the identifier of the request that the answer should belong to
     * @param answer what its head says
     * @param begun whether the caller has the beginning of a stream of events already
     * @return what it means
     */
    static AnswerKind judge(String request, ResponseFacts answer, boolean begun) {
        if (answer.belongsToAnother(request)) {
            return AnswerKind.FOREIGN;
        }
        if (answer.notExecuted()) {
            return notRun(request, answer);
        }
        if (PROMISES.contains(answer.status())) {
            return AnswerKind.UNPROVEN;
        }
        if (begun) {
            return goesOn(request, answer) ? AnswerKind.ANSWERED : AnswerKind.UNFITTING;
        }
        if (answer.status() >= StatusCodes.INTERNAL_SERVER_ERROR) {
            return AnswerKind.FAILED;
        }
        return isOwn(request, answer) || answer.status() >= StatusCodes.BAD_REQUEST
                ? AnswerKind.ANSWERED
                : AnswerKind.FOREIGN;
    }

    private static AnswerKind notRun(String request, ResponseFacts answer) {
        if (!answer.belongsTo(request)) {
            return AnswerKind.UNPROVEN;
        }
        return answer.status() == MISDIRECTED ? AnswerKind.WRONG_UPSTREAM : AnswerKind.DECLINED;
    }

    private static boolean goesOn(String request, ResponseFacts answer) {
        return answer.status() == StatusCodes.OK && answer.eventStream() && isOwn(request, answer);
    }

    private static boolean isOwn(String request, ResponseFacts answer) {
        return answer.belongsTo(request) && answer.hasReceipt() && !answer.contentEncoded();
    }
}

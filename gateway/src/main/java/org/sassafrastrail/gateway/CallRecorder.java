package org.sassafrastrail.gateway;

import java.util.Optional;

import org.sassafrastrail.gate.AttemptResult;
import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.RefusalReason;

/** Records the progress and outcome of requests and attempts, for later diagnosis. */
interface CallRecorder {

    /**
     * A request was refused before it was read completely.
     *
     * @param request the identifier that the caller gave the request, empty if none
     * @param account the client account of its key, empty if unknown
     * @param hostAndPath the host and path of the request
     * @param reason the reason
     * @param configuration the version of the configuration in force, {@code none} without one
     */
    void refusedOnArrival(
            String request,
            Optional<AccountName> account,
            String hostAndPath,
            RefusalReason reason,
            String configuration);

    /**
     * A request reached a processing step.
     *
     * @param account the client account of the request, empty if unknown
     * @param step the step
     * @param cost the cost of the request in tokens
     */
    void stepReached(Optional<AccountName> account, AccountActivity.Step step, long cost);

    /**
     * An attempt ended.
     *
     * @param call the request
     * @param attempt the number of the attempt
     * @param upstream the upstream
     * @param result the result of the attempt
     * @param cause the status of the response, or the failure that occurred instead
     */
    void attemptEnded(CallDescription call, int attempt, Upstream upstream, AttemptResult result, String cause);

    /**
     * An upstream asked for a pause in a form that cannot be understood.
     *
     * @param upstream the upstream
     */
    void pauseIgnored(Upstream upstream);

    /**
     * An upstream named a limit on its requests in a form that cannot be understood.
     *
     * @param upstream the upstream
     */
    void rateLimitIgnored(Upstream upstream);

    /**
     * The exchange with a caller ended.
     *
     * @param call the request and its outcome
     */
    void finished(FinishedCall call);

    /** A caller's idle connection was closed because the connection limit was exceeded. */
    void connectionClosedOverLimit();
}

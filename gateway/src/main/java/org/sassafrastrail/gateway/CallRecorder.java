package org.sassafrastrail.gateway;

import java.util.Optional;

import org.sassafrastrail.gate.AttemptResult;
import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.RefusalReason;

/** Notes what became of requests and attempts, for those who look for a cause later. */
interface CallRecorder {

    /**
     * A request was refused before it was read whole.
     *
     * @param request the identifier that the caller gave it, empty if it gave none
     * @param account the client account that its key belongs to, empty if none is known
     * @param place the host and path that it named
     * @param reason why
     * @param configuration the version of the configuration that decided, empty if there was none
     */
    void refusedOnArrival(
            String request,
            Optional<AccountName> account,
            String hostAndPath,
            RefusalReason reason,
            String configuration);

    /**
     * A request came so far.
     *
     * @param account the client account that it belongs to, empty if none is known
     * @param step how far
     * @param cost what it takes of the shared capacity
     */
    void stepReached(Optional<AccountName> account, AccountActivity.Step step, long cost);

    /**
     * An attempt ended.
     *
     * @param request the caller's identifier of the request
     * @param attempt the number of the attempt
     * @param upstream where it was
     * @param result how it ended
     * @param cause what there was in place of an answer, or its status
     */
    void attemptEnded(String request, int attempt, Upstream upstream, AttemptResult result, String cause);

    /**
     * The exchange with a caller is over.
     *
     * @param call what became of it
     */
    void finished(FinishedCall call);

    /** A caller's idle connection was closed because too many were open. */
    void connectionClosedOverLimit();
}

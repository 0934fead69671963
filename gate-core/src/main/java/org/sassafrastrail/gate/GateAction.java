package org.sassafrastrail.gate;

import java.time.Duration;

import org.sassafrastrail.model.RefusalReason;

/** What a gateway's decision asks to be carried out. */
public sealed interface GateAction {

    /**
     * Send the request to an upstream.
     *
     * @param call the request
     * @param attempt the number of the attempt
     * @param upstream where to
     * @param timeLeft how long the upstream may work on it
     * @param waited how long the request had been here
     * @param promptTokensAhead the tokens that the upstream is believed to read before the request
     * @param tokensToRead the request's own tokens that the upstream is believed not to have cached
     */
    record Dispatch(
            long call,
            int attempt,
            Upstream upstream,
            Duration timeLeft,
            Duration waited,
            long promptTokensAhead,
            long tokensToRead)
            implements GateAction {}

    /**
     * Refuse the request, which has not run and will not.
     *
     * @param call the request
     * @param reason why
     * @param comeBackAfter when a new request has a chance
     * @param waited how long the request had waited since it arrived or its last attempt ended
     * @param room the room that was seen
     */
    record Refuse(long call, RefusalReason reason, Duration comeBackAfter, Duration waited, RoomSeen room)
            implements GateAction {}

    /**
     * Give the caller the upstream's failure that was kept.
     *
     * @param call the request
     */
    record DeliverKept(long call) implements GateAction {}

    /**
     * Tell the caller that nobody knows whether the request ran, or break its answer off if a part of it is sent.
     *
     * @param call the request
     * @param timedOut whether its time was up
     */
    record Fail(long call, boolean timedOut) implements GateAction {}

    /**
     * End an attempt at its upstream, because nobody waits for it.
     *
     * @param call the request
     * @param attempt the attempt
     */
    record Abandon(long call, int attempt) implements GateAction {}

    /**
     * Note that something is now believed of an upstream.
     *
     * @param upstream the upstream
     * @param belief what
     * @param detail the inputs, for people
     */
    record Believe(UpstreamIdentifier upstream, Belief belief, String detail) implements GateAction {}

    /**
     * Note that a configuration is in force.
     *
     * @param version its number
     */
    record InForce(long version) implements GateAction {}

    /**
     * Tell the other gateways of this one.
     *
     * @param report what to say
     */
    record TellPeers(GatewayReport report) implements GateAction {}

    /** All requests have their answers and no new ones are expected: the process may end. */
    record Drained() implements GateAction {}
}

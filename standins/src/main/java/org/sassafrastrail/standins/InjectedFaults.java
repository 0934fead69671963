package org.sassafrastrail.standins;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Faults that a stand-in injects. Sent as JSON to {@code /misbehave}; a fault whose field is absent is off.
 *
 * @param down whether the stand-in closes every connection without a response
 * @param slowMilliseconds the delay added to every response
 * @param loseAnswers the number of subsequent state changes that take effect but whose response is lost
 * @param cutAfterTokens the number of tokens after which a stream is truncated, 0 for never
 * @param failPerMille the number of failing requests per thousand
 * @param failRoute the route on which requests fail, empty for all routes
 */
@JsonIgnoreProperties(ignoreUnknown = false)
public record InjectedFaults(
        boolean down, long slowMilliseconds, int loseAnswers, int cutAfterTokens, int failPerMille, String failRoute) {

    static final InjectedFaults NONE = new InjectedFaults(false, 0, 0, 0, 0, "");

    InjectedFaults withOneLostAnswerFewer() {
        return new InjectedFaults(down, slowMilliseconds, loseAnswers - 1, cutAfterTokens, failPerMille, failRoute);
    }

    boolean failsRequest(String route, long requestNumber) {
        boolean affectsRoute = failRoute == null || failRoute.isEmpty() || route.equals(failRoute);
        return affectsRoute && Math.floorMod(requestNumber * 617, 1000) < failPerMille;
    }
}

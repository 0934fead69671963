package org.sassafrastrail.standins;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * How a stand-in shall misbehave. Sent as JSON to {@code /misbehave}; what is left out is off.
 *
 * @param down whether it closes every connection without an answer
 * @param slowMilliseconds how much longer every answer takes
 * @param loseAnswers how many of the next changes take effect and get no answer
 * @param cutAfterTokens after how many tokens it cuts streams, 0 for never
 * @param failPerMille how many of a thousand requests fail
 * @param failRoute the route on which requests fail, empty for all
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

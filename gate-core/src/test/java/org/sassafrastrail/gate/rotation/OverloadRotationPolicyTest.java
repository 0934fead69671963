package org.sassafrastrail.gate.rotation;

import java.time.Duration;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a gateway under the load of one client account, whose callers all come to it, hands them over to the others of its
 * failure domain.
 */
class OverloadRotationPolicyTest {

    private static final int GATEWAYS = 16;
    private static final int USUAL_CONNECTIONS = 60;
    private static final int CAPACITY = 150;

    private static GatewaysOfOneDomain oneLoaded(int times) {
        return new GatewaysOfOneDomain(
                GATEWAYS, gateway -> gateway == 0 ? USUAL_CONNECTIONS * times : USUAL_CONNECTIONS, gateway -> CAPACITY);
    }

    /** Guards against callers who reach nobody: the overload ended and began several times between two checks of readiness. */
    @ParameterizedTest
    @ValueSource(ints = {3, 7, 15})
    void overloadedGatewayHandsItsConnectionsOver(int times) {
        GatewaysOfOneDomain gateways = oneLoaded(times);
        gateways.run(Duration.ofSeconds(20));
        assertThat(gateways.connections(0)).isLessThanOrEqualTo(CAPACITY);
        assertThat(gateways.leftRotation()).containsExactly(0);
        assertThat(gateways.isInRotation(0)).isTrue();
    }

    @Test
    void staysOutUntilTwoChecksHaveSeenIt() {
        GatewaysOfOneDomain gateways = oneLoaded(7);
        gateways.run(Duration.ofMillis(500));
        assertThat(gateways.isInRotation(0)).isFalse();
        gateways.run(Duration.ofMillis(2_800));
        assertThat(gateways.isInRotation(0)).isFalse();
    }

    /** Guards against a failure domain without gateways when all become overloaded before they hear of each other. */
    @ParameterizedTest
    @ValueSource(ints = {0, 50, 500})
    void halfOfTheDomainIsBackAsSoonAsItHearsThatTooManyLeft(int reportMilliseconds) {
        GatewaysOfOneDomain gateways =
                new GatewaysOfOneDomain(GATEWAYS, gateway -> 300 + gateway % 3, gateway -> USUAL_CONNECTIONS);
        gateways.setReportDelay(Duration.ofMillis(reportMilliseconds));
        gateways.run(Duration.ofMillis(1_200));
        for (int second = 0; second < 20; second++) {
            gateways.run(Duration.ofSeconds(1));
            long in =
                    IntStream.range(0, GATEWAYS).filter(gateways::isInRotation).count();
            assertThat(in).as("after second " + second).isGreaterThanOrEqualTo(GATEWAYS / 2);
        }
    }

    /** Guards against a gateway that is never used again, because its lag has another cause than its callers. */
    @Test
    void gatewayThatDoesNotCatchUpIsBackAfterAWhile() {
        GatewaysOfOneDomain gateways =
                new GatewaysOfOneDomain(GATEWAYS, gateway -> USUAL_CONNECTIONS, gateway -> gateway == 0 ? 0 : CAPACITY);
        gateways.run(Duration.ofSeconds(5));
        assertThat(gateways.isInRotation(0)).isFalse();
        gateways.run(Duration.ofSeconds(4));
        assertThat(gateways.isInRotation(0)).isTrue();
    }

    /** Guards against callers sent away from their only gateway. */
    @Test
    void gatewayWithoutOthersInItsDomainStays() {
        GatewaysOfOneDomain alone = new GatewaysOfOneDomain(1, gateway -> 900, gateway -> CAPACITY);
        alone.run(Duration.ofSeconds(10));
        assertThat(alone.leftRotation()).isEmpty();
    }

    /** Guards against a healthy gateway that leaves because its VM was paused. */
    @Test
    void onePauseIsNoOverload() {
        GatewaysOfOneDomain gateways = oneLoaded(1);
        gateways.run(Duration.ofSeconds(5));
        gateways.pause(0, Duration.ofSeconds(4));
        gateways.run(Duration.ofSeconds(2));
        assertThat(gateways.leftRotation()).isEmpty();
    }

    /** Guards against a domain that empties because the state of its gateways is not known. */
    @Test
    void gatewaysThatAreNotHeardCountAsInRotationAndStillNoMoreThanHalfLeave() {
        GatewaysOfOneDomain gateways = oneLoaded(7);
        gateways.run(Duration.ofSeconds(1));
        gateways.setLinkWorks(gateway -> false);
        gateways.run(Duration.ofSeconds(15));
        assertThat(gateways.mostOutAtOnce()).isLessThanOrEqualTo(GATEWAYS / 2);
    }
}

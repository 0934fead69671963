package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the share of capacity that accounts may use by what a gateway knows of all others. */
class AccountSharesTest {

    private static final Instant START = Instant.EPOCH;
    private static final Duration QUOTA_WINDOW = Duration.ofSeconds(4);
    private static final double MIN_SHARE = 0.4;
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;
    private static final AccountTokens SERVED_ALL = new AccountTokens(900_000, 900_000);
    private static final AccountTokens SERVED_LITTLE = new AccountTokens(900_000, 100_000);

    private static AccountShares shares(Map<String, AccountTokens> accounts) {
        return AccountShares.forQuotaWindow(QUOTA_WINDOW)
                .withReport("peer", new GatewayReport(true, Map.of(), accounts), START);
    }

    private static double share(AccountShares shares, String account, Instant now) {
        return shares.withUpdatedLevels(UNLIMITED, now).capacityShare(account, MIN_SHARE, now);
    }

    @Test
    void accountThatIsBehindMayUseMoreThanOneAhead() {
        AccountShares shares = shares(Map.of("wide", SERVED_ALL, "narrow", SERVED_LITTLE));
        assertThat(share(shares, "wide", START)).isLessThan(1);
        assertThat(share(shares, "narrow", START)).isGreaterThan(1);
    }

    /** Guards against accounts that wait while upstreams have capacity that no other account wants. */
    @Test
    void onlyAccountWithUnservedDemandMayUseAllCapacity() {
        AccountShares shares = shares(Map.of("wide", SERVED_LITTLE, "idle", new AccountTokens(10_000, 10_000)));
        assertThat(share(shares, "wide", START)).isEqualTo(1);
    }

    @Test
    void accountsMayUseAllCapacityWhileAllAreServed() {
        AccountShares shares = shares(Map.of("wide", SERVED_ALL, "narrow", new AccountTokens(10_000, 10_000)));
        assertThat(share(shares, "wide", START)).isEqualTo(1);
    }

    @Test
    void gatewayThatKnowsNoTotalsCorrectsNothing() {
        AccountShares started = AccountShares.forQuotaWindow(QUOTA_WINDOW).withRequested("wide", 900_000, START);
        assertThat(share(started, "wide", START)).isEqualTo(1);
    }

    @Test
    void totalsOfLostPeerFadeButDoNotVanish() {
        Instant later = START.plus(QUOTA_WINDOW.dividedBy(4));
        AccountShares shares =
                shares(Map.of("wide", SERVED_ALL, "narrow", SERVED_LITTLE)).withoutIdleReports(Set.of(), later);
        assertThat(shares.fleetTokens("wide", later).served()).isEqualTo(SERVED_ALL.served() / 2.0);
        assertThat(share(shares, "wide", later)).isLessThan(1);
    }

    @Test
    void totalsOfRestartedPeerReplaceThoseOfItsEarlierLife() {
        AccountShares shares = shares(Map.of("wide", SERVED_ALL))
                .withReport("peer", new GatewayReport(true, Map.of(), Map.of("wide", SERVED_LITTLE)), START);
        assertThat(shares.fleetTokens("wide", START).served()).isEqualTo(SERVED_LITTLE.served());
    }
}

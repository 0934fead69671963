package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Tests the corrections that lead accounts to their fair shares. */
class ShareCorrectionsTest {

    private static final Instant START = Instant.EPOCH;
    private static final Duration TICK = Duration.ofMillis(25);
    private static final int SECOND = 40;

    private static ShareCorrections after(int ticks, double excess) {
        return updated(ShareCorrections.NONE.updated(Map.of("account", excess), START), ticks, excess);
    }

    private static ShareCorrections updated(ShareCorrections start, int ticks, double excess) {
        ShareCorrections corrections = start;
        for (int tick = 1; tick <= ticks; tick++) {
            corrections = corrections.updated(
                    Map.of("account", excess), start.updatedAt().plus(TICK.multipliedBy(tick)));
        }
        return corrections;
    }

    /** Guards against FAIR: a small lasting excess was never corrected. */
    @Test
    void smallExcessIsCorrectedMoreTheLongerItLasts() {
        assertThat(after(SECOND, 0.2).factor("account", 0.2))
                .isLessThan(after(1, 0.2).factor("account", 0.2))
                .isGreaterThan(after(3 * SECOND, 0.2).factor("account", 0.2));
    }

    @Test
    void accountServedLessThanOwedMayUseMore() {
        assertThat(after(SECOND, -0.2).factor("account", -0.2)).isGreaterThan(1);
    }

    @Test
    void correctionsStayWithinBounds() {
        assertThat(after(60 * SECOND, 1).factor("account", 1)).isCloseTo(0.1, within(1e-9));
        assertThat(after(60 * SECOND, -1).factor("account", -1)).isCloseTo(2, within(1e-9));
    }

    @Test
    void longExcessIsForgivenWithinSecondsOnceItIsOver() {
        ShareCorrections reduced = after(60 * SECOND, 1);
        assertThat(updated(reduced, 2 * SECOND, -0.5).factor("account", -0.5)).isGreaterThan(0.5);
    }

    @Test
    void correctionsFadeWithoutExcess() {
        assertThat(updated(after(SECOND, 0.5), 60 * SECOND, 0).integrals()).isEmpty();
    }

    @Test
    void accountWithoutTokensLosesItsCorrection() {
        assertThat(after(SECOND, 0.5).updated(Map.of(), START.plusSeconds(2)).factor("account", 0))
                .isEqualTo(1);
    }

    @Test
    void timeThatDoesNotAdvanceChangesNothing() {
        ShareCorrections corrections = after(SECOND, 0.5);
        assertThat(corrections.updated(Map.of("account", 0.5), corrections.updatedAt()))
                .isEqualTo(corrections);
    }
}

package org.sassafrastrail.gate;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the level of max-min fair shares. */
class MaxMinLevelTest {

    @Test
    void demandBelowLevelLeavesRemainderToOthers() {
        assertThat(MaxMinLevel.of(List.of(10.0, 90.0, 1.0), 51)).isEqualTo(40);
    }

    @Test
    void levelIsInfiniteIfTotalCoversDemand() {
        assertThat(MaxMinLevel.of(List.of(10.0, 90.0), 100)).isInfinite();
        assertThat(MaxMinLevel.of(List.of(), 0)).isInfinite();
    }

    @Test
    void levelIsZeroIfTotalIsZero() {
        assertThat(MaxMinLevel.of(List.of(10.0, 90.0), 0)).isZero();
    }
}

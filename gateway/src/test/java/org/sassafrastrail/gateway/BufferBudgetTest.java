package org.sassafrastrail.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the limit on the memory for buffered requests or responses. */
class BufferBudgetTest {

    private final BufferBudget budget = new BufferBudget(100);

    @Test
    void reservationsOverTheLimitAreRejected() {
        assertThat(budget.reserve(60)).isTrue();
        assertThat(budget.reserve(41)).isFalse();
        assertThat(budget.reserve(40)).isTrue();
        assertThat(budget.reserve(1)).isFalse();
    }

    @Test
    void releasedMemoryCanBeReservedAgain() {
        budget.reserve(100);
        budget.release(30);
        assertThat(budget.reserve(31)).isFalse();
        assertThat(budget.reserve(30)).isTrue();
    }
}

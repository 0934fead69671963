package org.sassafrastrail.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that bodies take memory before they use it, give all of it back, and that large ones leave room for small ones. */
class RequestMemoryTest {

    private static final int KILOBYTE = 1024;
    private static final int LARGE = 100 * KILOBYTE;

    private final BufferBudget allBodies = new BufferBudget(4L * LARGE);
    private final BufferBudget largeBodies = new BufferBudget(3L * LARGE);

    private RequestMemory memory() {
        return new RequestMemory(allBodies, largeBodies);
    }

    @Test
    void largeBodiesLeaveRoomForSmallOnes() {
        for (int count = 0; count < 3; count++) {
            assertThat(memory().hold(LARGE)).isTrue();
        }
        assertThat(memory().hold(LARGE)).isFalse();
        assertThat(memory().hold(50 * KILOBYTE)).isTrue();
    }

    @Test
    void bodyThatGrowsBecomesLarge() {
        RequestMemory growing = memory();
        assertThat(growing.hold(50 * KILOBYTE)).isTrue();
        assertThat(growing.hold(3L * LARGE)).isTrue();
        assertThat(growing.hold(3L * LARGE + 1)).isFalse();
        assertThat(memory().hold(LARGE)).isFalse();
    }

    @Test
    void everythingIsGivenBackOnce() {
        RequestMemory first = memory();
        first.hold(50 * KILOBYTE);
        first.hold(2L * LARGE);
        first.close();
        first.close();
        assertThat(largeBodies.reserve(3L * LARGE)).isTrue();
        assertThat(largeBodies.reserve(1)).isFalse();
        assertThat(allBodies.reserve(4L * LARGE)).isTrue();
        assertThat(allBodies.reserve(1)).isFalse();
    }
}

package org.sassafrastrail.gate;

import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RegistrationAgesTest {

    private static final int READS = 60;

    private static RegistrationAges read(RegistrationAges ages, int times, Map<String, Long> versions) {
        return IntStream.range(0, times)
                .boxed()
                .reduce(ages, (known, number) -> known.afterRead(versions), (one, other) -> other);
    }

    @Test
    void gatewayThatDoesNotRenewIsGone() {
        RegistrationAges ages = read(RegistrationAges.NONE, READS - 1, Map.of("a", 1L, "b", 2L));
        assertThat(ages.gone(READS)).isEmpty();
        assertThat(ages.afterRead(Map.of("a", 1L, "b", 3L)).gone(READS)).containsExactly("a");
    }

    @Test
    void registrationsThatAreRemovedAreForgotten() {
        RegistrationAges ages = read(RegistrationAges.NONE, READS, Map.of("a", 1L));
        assertThat(ages.afterRead(Map.of()).ages()).isEmpty();
    }

    @Test
    void gatewayThatRegistersAgainStartsAnew() {
        RegistrationAges ages = read(RegistrationAges.NONE, READS, Map.of("a", 1L));
        assertThat(ages.afterRead(Map.of("a", 9L)).gone(READS)).isEmpty();
    }
}

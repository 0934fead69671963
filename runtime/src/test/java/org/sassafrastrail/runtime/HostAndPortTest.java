package org.sassafrastrail.runtime;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class HostAndPortTest {

    @Test
    void lastColonSeparatesHostAndPort() {
        assertThat(HostAndPort.parse("10.0.0.1:80")).isEqualTo(new HostAndPort("10.0.0.1", 80));
        assertThat(HostAndPort.parse("::1:80")).isEqualTo(new HostAndPort("::1", 80));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "host", ":80", "host:", "host:port"})
    void malformedHostAndPortIsRejected(String text) {
        assertThatThrownBy(() -> HostAndPort.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }
}

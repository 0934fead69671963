package org.sassafrastrail.runtime;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogLineTest {

    @Test
    void valuesWithSpacesAreQuoted() {
        assertThat(LogLine.of("started", LogField.of("node", "router-1"), LogField.of("why", "a b")))
                .isEqualTo("event=started node=router-1 why=\"a b\"");
    }

    @Test
    void controlCharactersAndQuotesAreEscaped() {
        assertThat(LogLine.of("odd", LogField.of("text", "x\nevent=forged \"y\"\u0085")))
                .isEqualTo("event=odd text=\"x\\nevent=forged \\\"y\\\"\\u0085\"");
    }
}

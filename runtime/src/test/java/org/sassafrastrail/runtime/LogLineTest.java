package org.sassafrastrail.runtime;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

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

    @Test
    void emptyValueIsQuoted() {
        assertThat(LogLine.of("odd", LogField.of("text", ""))).isEqualTo("event=odd text=\"\"");
    }

    /** Guards against forged lines: the text of an exception can contain what a caller or upstream sent. */
    @Test
    void textOfExceptionIsOneLine() {
        Logging.configure("INFO");
        Handler handler = Logger.getLogger("").getHandlers()[0];
        LogRecord entry = new LogRecord(Level.WARNING, "event=odd");
        entry.setThrown(new IllegalStateException("x\nevent=forged"));
        assertThat(handler.getFormatter().format(entry).lines()).noneMatch(line -> line.startsWith("event=forged"));
    }
}

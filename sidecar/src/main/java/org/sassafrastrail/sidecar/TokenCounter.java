package org.sassafrastrail.sidecar;

import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.sidecar.core.SidecarEvent;

/** Counts the tokens of a streamed response, one per line, and reports the total periodically to the control thread. */
final class TokenCounter {

    private static final int REPORT_INTERVAL_TOKENS = 16;

    private final GrantIdentifier grant;
    private final Consumer<SidecarEvent> control;
    private long total;
    private long reported;

    TokenCounter(GrantIdentifier grant, Consumer<SidecarEvent> control) {
        this.grant = grant;
        this.control = control;
    }

    void count(byte[] buffer, int length) {
        total += IntStream.range(0, length)
                .filter(index -> buffer[index] == '\n')
                .count();
        if (total - reported >= REPORT_INTERVAL_TOKENS) {
            reported = total;
            control.accept(new SidecarEvent.ResponseProgressed(grant, total));
        }
    }

    long total() {
        return total;
    }
}

package org.sassafrastrail.acceptance.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.sidecar.core.SidecarAction;
import org.sassafrastrail.sidecar.core.SidecarEvent;

/**
 * Records the transcript of a session: the events and actions of every core, except ticks, load reports and heartbeats,
 * which only the passing of time causes.
 */
public final class SessionTranscript {

    private static final Pattern RULE_DOCUMENT =
            Pattern.compile("RuleDocument\\[revision=Revision\\[value=(\\d+)][^]]*]");
    private static final Pattern DIGEST = Pattern.compile("sha256:[0-9a-f]{64}|[0-9a-f]{64}");
    private static final Pattern NUMERIC_VALUE = Pattern.compile("(?:Revision|Incarnation)\\[value=(\\d+)]");

    private final Instant start;
    private final List<String> lines = new ArrayList<>();
    private boolean recording;

    SessionTranscript(Instant start) {
        this.start = start;
    }

    /** Starts recording; earlier events and actions are not recorded. */
    public void startRecording() {
        recording = true;
    }

    void event(Instant now, Object node, Object event) {
        if (recording && !isPeriodic(event)) {
            add(now, node, "<-", event);
        }
    }

    void action(Instant now, Object node, Object action) {
        if (recording && !isPeriodic(action)) {
            add(now, node, "->", action);
        }
    }

    private void add(Instant now, Object node, String arrow, Object entry) {
        String text = NUMERIC_VALUE
                .matcher(DIGEST.matcher(RULE_DOCUMENT.matcher(entry.toString()).replaceAll("rules $1"))
                        .replaceAll("digest"))
                .replaceAll("$1");
        lines.add(String.format("%6d %-10s %s %s", Duration.between(start, now).toMillis(), node, arrow, text));
    }

    public String text() {
        return String.join("\n", lines) + "\n";
    }

    private static boolean isPeriodic(Object entry) {
        return entry instanceof RouterEvent.Tick
                || entry instanceof SidecarEvent.Tick
                || entry instanceof SidecarEvent.LoadReported
                || entry instanceof RouterEvent.SidecarMessageReceived received
                        && received.message() instanceof Heartbeat
                || entry instanceof SidecarEvent.RouterMessageReceived received
                        && received.message() instanceof Heartbeat
                || entry instanceof RouterAction.SendMessage sent && sent.message() instanceof Heartbeat
                || entry instanceof SidecarAction.SendMessage sent && sent.message() instanceof Heartbeat;
    }
}

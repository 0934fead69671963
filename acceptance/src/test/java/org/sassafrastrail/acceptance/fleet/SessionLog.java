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

/** The transcript of a session: events in and actions out of every core, without what only time brings about. */
public final class SessionLog {

    private static final Pattern DOCUMENT = Pattern.compile("RuleDocument\\[revision=Revision\\[value=(\\d+)][^]]*]");
    private static final Pattern DIGEST = Pattern.compile("sha256:[0-9a-f]{64}|[0-9a-f]{64}");
    private static final Pattern NAME = Pattern.compile("(?:Revision|Incarnation)\\[value=(\\d+)]");

    private final Instant start;
    private final List<String> lines = new ArrayList<>();
    private boolean on;

    SessionLog(Instant start) {
        this.start = start;
    }

    /** Starts writing; without it nothing is kept. */
    public void begin() {
        on = true;
    }

    void event(Instant now, Object node, Object event) {
        if (on && !isRoutine(event)) {
            add(now, node, "<-", event);
        }
    }

    void action(Instant now, Object node, Object action) {
        if (on && !isRoutine(action)) {
            add(now, node, "->", action);
        }
    }

    private void add(Instant now, Object node, String arrow, Object what) {
        String text = NAME.matcher(
                        DIGEST.matcher(DOCUMENT.matcher(what.toString()).replaceAll("rules $1"))
                                .replaceAll("digest"))
                .replaceAll("$1");
        lines.add(String.format("%6d %-10s %s %s", Duration.between(start, now).toMillis(), node, arrow, text));
    }

    public String text() {
        return String.join("\n", lines) + "\n";
    }

    private static boolean isRoutine(Object what) {
        return what instanceof RouterEvent.Tick
                || what instanceof SidecarEvent.Tick
                || what instanceof SidecarEvent.LoadReported
                || what instanceof RouterEvent.SidecarMessageReceived said && said.message() instanceof Heartbeat
                || what instanceof SidecarEvent.RouterMessageReceived heard && heard.message() instanceof Heartbeat
                || what instanceof RouterAction.SendMessage tell && tell.message() instanceof Heartbeat
                || what instanceof SidecarAction.SendMessage told && told.message() instanceof Heartbeat;
    }
}

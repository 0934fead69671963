package org.sassafrastrail.acceptance.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.sidecar.core.UpstreamOutcome;

/** An upstream that gives each running request a token after the same time, and notes the most that ran at once. */
public final class VirtualEngine {

    private static final int TOLD_EVERY = 16;

    private final VirtualFleet fleet;
    private final Duration token;
    private final Set<GrantIdentifier> running = new HashSet<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private int most;
    private boolean cold;
    private long incarnation = 1;
    private boolean failing;
    private Duration firstTokenDelay = Duration.ZERO;

    VirtualEngine(VirtualFleet fleet, Duration token) {
        this.fleet = fleet;
        this.token = token;
    }

    void begin(VirtualSidecar sidecar, AttemptIdentifier attempt, GrantIdentifier grant) {
        VirtualRequest request = fleet.request(attempt.request());
        running.add(grant);
        runs.merge(request.identifier().value(), 1, Integer::sum);
        most = Math.max(most, running.size());
        if (failing) {
            fleet.time().after(token, () -> end(sidecar, grant, new UpstreamOutcome.Completed(500, 0, token)));
        } else {
            progress(sidecar, grant, request, 0);
        }
    }

    private void progress(VirtualSidecar sidecar, GrantIdentifier grant, VirtualRequest request, long done) {
        long chunk = Math.min(TOLD_EVERY, request.cost() - done);
        Duration wait = token.multipliedBy(chunk).plus(done == 0 ? firstTokenDelay : Duration.ZERO);
        fleet.time().after(wait, () -> {
            if (!running.contains(grant)) {
                return;
            }
            fleet.delivered(request, chunk);
            if (done + chunk >= request.cost()) {
                Duration firstByte = token.plus(firstTokenDelay);
                end(sidecar, grant, new UpstreamOutcome.Completed(200, request.cost(), firstByte));
            } else {
                sidecar.post(new SidecarEvent.ResponseProgressed(grant, done + chunk));
                progress(sidecar, grant, request, done + chunk);
            }
        });
    }

    private void end(VirtualSidecar sidecar, GrantIdentifier grant, UpstreamOutcome outcome) {
        if (running.remove(grant)) {
            sidecar.answered(grant, outcome);
        }
    }

    void report(VirtualSidecar sidecar) {
        sidecar.post(new SidecarEvent.LoadReported(incarnation, running.size(), cold));
    }

    /** Cuts every stream and starts anew, cold. */
    public void fall(VirtualSidecar sidecar) {
        Set<GrantIdentifier> cut = Set.copyOf(running);
        incarnation++;
        cold = true;
        cut.forEach(grant -> end(sidecar, grant, new UpstreamOutcome.ConnectionLost(0)));
    }

    public void cold(boolean next) {
        cold = next;
    }

    public void failing(boolean next) {
        failing = next;
    }

    public void firstTokenDelay(Duration next) {
        firstTokenDelay = next;
    }

    public int running() {
        return running.size();
    }

    public int mostAtOnce() {
        return most;
    }

    public void forgetMost() {
        most = running.size();
    }

    public Map<String, Integer> runs() {
        return runs;
    }
}

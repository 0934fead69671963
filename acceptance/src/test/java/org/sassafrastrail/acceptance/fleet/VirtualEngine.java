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

/**
 * Simulates an upstream that produces a token per fixed interval for each running request, and records its maximum
 * concurrency.
 */
public final class VirtualEngine {

    private static final int PROGRESS_INTERVAL_TOKENS = 16;

    private final VirtualFleet fleet;
    private final Duration timePerToken;
    private final Set<GrantIdentifier> runningGrants = new HashSet<>();
    private final Map<String, Integer> runsByRequest = new HashMap<>();
    private int maximumConcurrency;
    private boolean cold;
    private long incarnation = 1;
    private boolean failing;
    private Duration firstTokenDelay = Duration.ZERO;

    VirtualEngine(VirtualFleet fleet, Duration timePerToken) {
        this.fleet = fleet;
        this.timePerToken = timePerToken;
    }

    void start(VirtualSidecar sidecar, AttemptIdentifier attempt, GrantIdentifier grant) {
        VirtualRequest request = fleet.request(attempt.request());
        runningGrants.add(grant);
        runsByRequest.merge(request.identifier().value(), 1, Integer::sum);
        maximumConcurrency = Math.max(maximumConcurrency, runningGrants.size());
        if (failing) {
            fleet.time()
                    .after(
                            timePerToken,
                            () -> finish(sidecar, grant, new UpstreamOutcome.Completed(500, 0, timePerToken)));
        } else {
            scheduleProgress(sidecar, grant, request, 0);
        }
    }

    private void scheduleProgress(
            VirtualSidecar sidecar, GrantIdentifier grant, VirtualRequest request, long tokensDone) {
        long chunk = Math.min(PROGRESS_INTERVAL_TOKENS, request.cost() - tokensDone);
        Duration delay = timePerToken.multipliedBy(chunk).plus(tokensDone == 0 ? firstTokenDelay : Duration.ZERO);
        fleet.time().after(delay, () -> {
            if (!runningGrants.contains(grant)) {
                return;
            }
            fleet.tokensServed(request, chunk);
            if (tokensDone + chunk >= request.cost()) {
                Duration firstByte = timePerToken.plus(firstTokenDelay);
                finish(sidecar, grant, new UpstreamOutcome.Completed(200, request.cost(), firstByte));
            } else {
                sidecar.post(new SidecarEvent.ResponseProgressed(grant, tokensDone + chunk));
                scheduleProgress(sidecar, grant, request, tokensDone + chunk);
            }
        });
    }

    private void finish(VirtualSidecar sidecar, GrantIdentifier grant, UpstreamOutcome outcome) {
        if (runningGrants.remove(grant)) {
            sidecar.upstreamEnded(grant, outcome);
        }
    }

    void reportLoad(VirtualSidecar sidecar) {
        sidecar.post(new SidecarEvent.LoadReported(incarnation, runningGrants.size(), cold));
    }

    /** Aborts all running requests and restarts with a new incarnation, cold. */
    public void crash(VirtualSidecar sidecar) {
        Set<GrantIdentifier> interrupted = Set.copyOf(runningGrants);
        incarnation++;
        cold = true;
        interrupted.forEach(grant -> finish(sidecar, grant, new UpstreamOutcome.ConnectionLost(0)));
    }

    public void setCold(boolean value) {
        cold = value;
    }

    public void setFailing(boolean value) {
        failing = value;
    }

    public void setFirstTokenDelay(Duration value) {
        firstTokenDelay = value;
    }

    public int runningCount() {
        return runningGrants.size();
    }

    public int maximumConcurrency() {
        return maximumConcurrency;
    }

    public void resetMaximumConcurrency() {
        maximumConcurrency = runningGrants.size();
    }

    public Map<String, Integer> runsByRequest() {
        return runsByRequest;
    }
}

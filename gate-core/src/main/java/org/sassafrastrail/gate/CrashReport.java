package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.sassafrastrail.gate.crash.Crash;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * What a gateway tells its peers of the crash of an upstream. Times are ages, because clocks of VMs differ.
 *
 * @param upstream the incarnation of the upstream
 * @param age the time since the gateway observed the crash
 * @param confirmed whether the gateway knows that the upstream crashed
 * @param suspects the parts of lost prompts, each with the time since the latest request with it was dispatched
 * @param trusted the suspects to which an upstream had responded shortly before
 * @param cleared the parts to which an upstream has responded since
 */
public record CrashReport(
        UpstreamIncarnation upstream,
        Duration age,
        boolean confirmed,
        Map<String, Duration> suspects,
        Set<String> trusted,
        Set<String> cleared) {

    static CrashReport of(UpstreamIncarnation upstream, Crash crash, Instant now) {
        return new CrashReport(
                upstream,
                Duration.between(crash.observedAt(), now),
                crash.confirmed(),
                crash.suspects().entrySet().stream()
                        .collect(Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, suspect -> Duration.between(suspect.getValue(), now))),
                crash.trusted(),
                crash.cleared());
    }

    Crash toCrash(Instant now) {
        return new Crash(
                now.minus(age),
                confirmed,
                HashTreePMap.from(suspects.entrySet().stream()
                        .collect(Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, suspect -> now.minus(suspect.getValue())))),
                HashTreePSet.from(trusted),
                HashTreePSet.from(cleared));
    }
}

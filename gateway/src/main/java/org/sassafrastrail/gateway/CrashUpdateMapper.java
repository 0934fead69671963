package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.sassafrastrail.gate.CrashReport;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.messages.CrashUpdate;
import org.sassafrastrail.messages.SuspectPart;
import org.sassafrastrail.messages.UpstreamCrash;

/** Converts what gateways tell each other of crashes between the form of the core and the message on the wire. */
final class CrashUpdateMapper {

    private static final long MAX_AGE_MILLISECONDS = Duration.ofDays(1).toMillis();

    private CrashUpdateMapper() {}

    static CrashUpdate toMessage(List<CrashReport> crashes) {
        return new CrashUpdate(
                crashes.stream().map(CrashUpdateMapper::toMessage).toList());
    }

    private static UpstreamCrash toMessage(CrashReport crash) {
        return new UpstreamCrash(
                crash.upstream().upstream(),
                crash.upstream().startedAtMillis(),
                crash.age().toMillis(),
                crash.confirmed(),
                crash.suspects().entrySet().stream()
                        .map(suspect -> new SuspectPart(
                                suspect.getKey(),
                                suspect.getValue().toMillis(),
                                crash.trusted().contains(suspect.getKey())))
                        .toList(),
                List.copyOf(crash.cleared()));
    }

    static List<CrashReport> fromMessage(CrashUpdate message) {
        return message.crashes().stream().map(CrashUpdateMapper::fromMessage).toList();
    }

    private static CrashReport fromMessage(UpstreamCrash crash) {
        return new CrashReport(
                new UpstreamIncarnation(crash.upstream(), crash.startedAtMillis()),
                age(crash.ageMilliseconds()),
                crash.confirmed(),
                crash.suspects().stream()
                        .collect(Collectors.toUnmodifiableMap(
                                SuspectPart::part,
                                suspect -> age(suspect.dispatchedMillisecondsAgo()),
                                (first, repeated) -> first.compareTo(repeated) < 0 ? first : repeated)),
                crash.suspects().stream()
                        .filter(SuspectPart::trusted)
                        .map(SuspectPart::part)
                        .collect(Collectors.toUnmodifiableSet()),
                Set.copyOf(crash.cleared()));
    }

    /** Limits an age, so that times before now can be computed from it. */
    private static Duration age(long milliseconds) {
        return Duration.ofMillis(Math.max(0, Math.min(milliseconds, MAX_AGE_MILLISECONDS)));
    }
}

package org.sassafrastrail.gate.crash;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which prompt parts crashes are attributed to. */
class RecurringPartAttributionTest {

    private static final Instant START = Instant.EPOCH.plusSeconds(100);

    private final CrashAttribution attribution = new RecurringPartAttribution(2);

    /** Creates a confirmed crash, at which requests were lost that had been dispatched a second before. */
    private static Crash crash(int second, Set<String> lostParts) {
        return Crash.observed(START.plusSeconds(second))
                .withLost(lostParts, START.plusSeconds(second - 1))
                .asConfirmed();
    }

    private static PSet<String> parts(String... parts) {
        return HashTreePSet.from(List.of(parts));
    }

    @Test
    void partThatRecursIsCause() {
        assertThat(attribution.causes(List.of(crash(1, Set.of("deadly", "a")), crash(3, Set.of("deadly", "b")))))
                .containsExactly(parts("deadly"));
    }

    @Test
    void partsThatAlwaysRecurTogetherAreOneCause() {
        assertThat(attribution.causes(
                        List.of(crash(1, Set.of("deadly", "beside", "a")), crash(3, Set.of("deadly", "beside", "b")))))
                .containsExactly(parts("deadly", "beside"));
    }

    @Test
    void oneCrashHasNoCause() {
        assertThat(attribution.causes(List.of(crash(1, Set.of("a", "b"))))).isEmpty();
    }

    /** Guards against requests that were refused because engines of one failure domain went down with its power. */
    @Test
    void upstreamsThatCrashTogetherCountOnce() {
        assertThat(attribution.causes(
                        List.of(crash(1, Set.of("popular")), crash(1, Set.of("popular")), crash(1, Set.of("popular")))))
                .isEmpty();
    }

    /**
     * Guards against LOST: a request that was retried at once at another engine of the same failure domain, which was down
     * already, made its parts look like a cause, and all sound requests with them were refused.
     */
    @Test
    void upstreamsWhoseCrashesAreSeenOneAfterTheOtherCountOnce() {
        Crash second = Crash.observed(START.plusSeconds(1).plusMillis(25))
                .withLost(Set.of("popular"), START.plusSeconds(1).plusMillis(5))
                .asConfirmed();
        assertThat(attribution.causes(List.of(crash(1, Set.of("popular")), second)))
                .isEmpty();
    }

    @Test
    void partThatWasServedBeforeIsSuspectedLater() {
        List<Crash> crashes = List.of(
                crash(1, Set.of("popular")).withTrusted(Set.of("popular")),
                crash(3, Set.of("popular")),
                crash(5, Set.of("popular")));
        assertThat(attribution.causes(crashes)).isEmpty();
        assertThat(attribution.causes(Stream.concat(crashes.stream(), Stream.of(crash(7, Set.of("popular"))))
                        .toList()))
                .containsExactly(parts("popular"));
    }

    @Test
    void partThatWasServedBeforeDoesNotBelongToCauseOfAnother() {
        assertThat(attribution.causes(List.of(
                        crash(1, Set.of("deadly", "popular")).withTrusted(Set.of("popular")),
                        crash(3, Set.of("deadly", "popular")))))
                .containsExactly(parts("deadly"));
    }

    @Test
    void lossAtUpstreamThatDidNotCrashIsNoEvidence() {
        Crash unconfirmed = Crash.observed(START.plusSeconds(3)).withLost(Set.of("a"), START.plusSeconds(2));
        assertThat(attribution.causes(List.of(crash(1, Set.of("a")), unconfirmed)))
                .isEmpty();
    }

    @Test
    void partThatWasServedSinceIsNotSuspected() {
        Crash first = crash(1, Set.of("deadly", "popular")).withCleared(Set.of("popular"));
        assertThat(attribution.causes(List.of(first, crash(3, Set.of("deadly", "popular")))))
                .containsExactly(parts("deadly"));
    }

    @Test
    void crashesThatAreExplainedCountAgainstNoOtherPart() {
        List<Crash> crashes = List.of(
                crash(1, Set.of("deadly", "unlucky")),
                crash(3, Set.of("deadly", "unlucky")),
                crash(5, Set.of("deadly")));
        assertThat(attribution.causes(crashes)).containsExactly(parts("deadly"));
    }

    @Test
    void twoCausesAreToldApart() {
        List<Crash> crashes = List.of(
                crash(1, Set.of("one")),
                crash(3, Set.of("other")),
                crash(5, Set.of("one")),
                crash(7, Set.of("one")),
                crash(9, Set.of("other")));
        assertThat(attribution.causes(crashes)).containsExactlyInAnyOrder(parts("one"), parts("other"));
    }
}

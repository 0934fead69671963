package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.process.HttpProbe;
import org.sassafrastrail.acceptance.process.ProcessFleet;
import org.sassafrastrail.acceptance.process.ProgramProcess;

import static org.assertj.core.api.Assertions.assertThat;

/** Kills, freezes, lost answers and outages, with real processes. */
class ProcessFailureTest {

    private static final Duration FEW_SECONDS = Duration.ofSeconds(3);
    private static final String PLATFORM_DOWN = "{\"down\":true}";
    private static final long CALL_MILLISECONDS = 600;
    private static final long PATIENCE = 8000;

    private ProcessFleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = new ProcessFleet(CALL_MILLISECONDS);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    private CompletableFuture<HttpProbe.Answer> book(int router, String identifier) {
        return fleet.http().book(fleet.routerPort(router), identifier, false, PATIENCE);
    }

    private List<CompletableFuture<HttpProbe.Answer>> bookings(String prefix, int number) {
        return IntStream.range(0, number)
                .mapToObj(place -> book(place % 2, prefix + place))
                .toList();
    }

    private static void pause(Duration span) {
        LockSupport.parkNanos(span.toNanos());
    }

    private void assertRunsFit(List<CompletableFuture<HttpProbe.Answer>> answers, String prefix) {
        IntStream.range(0, answers.size()).forEach(place -> {
            HttpProbe.Answer answer = answers.get(place).join();
            int runs = fleet.runs(prefix + place);
            assertThat(runs).as(answer.toString()).isLessThanOrEqualTo(1);
            if (answer.isWhole()) {
                assertThat(runs).isEqualTo(1);
            }
            if (answer.body().contains("not-run")) {
                assertThat(runs).as(answer.toString()).isZero();
            }
        });
    }

    @Test
    void aKilledSidecarLeavesUnknownOutcomesAndNoSecondRun() {
        List<CompletableFuture<HttpProbe.Answer>> answers = bookings("kill", 6);
        ProcessFleet.until(() -> fleet.runsAt(0) > 0);
        fleet.process("desk-0").kill();

        assertRunsFit(answers, "kill");
        assertThat(answers.stream().map(CompletableFuture::join))
                .anyMatch(answer -> answer.body().contains("outcome-unknown"));
        fleet.relaunch("sidecar", "desk-0");
        assertThat(book(0, "after").join().isWhole()).isTrue();
    }

    @Test
    void aFrozenAndThawedSidecarAnswersWhatItBegan() {
        List<CompletableFuture<HttpProbe.Answer>> answers = bookings("freeze", 6);
        ProcessFleet.until(() -> fleet.runsAt(0) > 0);
        fleet.process("desk-0").freeze();
        pause(Duration.ofSeconds(4));
        fleet.process("desk-0").thaw();

        assertRunsFit(answers, "freeze");
        assertThat(answers.stream().map(CompletableFuture::join)).allMatch(HttpProbe.Answer::isWhole);
    }

    @Test
    void aRepeatAtAnotherRouterAfterAKillDoesNotRunTwice() {
        fleet.http().book(fleet.routerPort(0), "same", true, PATIENCE);
        ProcessFleet.until(() -> fleet.runs("same") == 1);
        fleet.process("router-0").kill();

        HttpProbe.Answer repeat =
                fleet.http().book(fleet.routerPort(1), "same", true, PATIENCE).join();
        assertThat(repeat.body()).contains("idempotency-key-claimed");
        assertThat(fleet.runs("same")).isEqualTo(1);
    }

    @Test
    void aClaimWhoseAnswerWasLostIsSettledByReadingBack() {
        fleet.misbehavePlatform("{\"loseAnswers\":1}");

        HttpProbe.Answer answer =
                fleet.http().book(fleet.routerPort(0), "lost", true, PATIENCE).join();
        assertThat(answer.isWhole()).as(answer.toString()).isTrue();
        assertThat(fleet.runs("lost")).isEqualTo(1);
    }

    @Test
    void aKeyedRequestIsRefusedAsNotRunWhileThePlatformIsDown() {
        fleet.misbehavePlatform(PLATFORM_DOWN);

        HttpProbe.Answer keyed =
                fleet.http().book(fleet.routerPort(0), "down", true, 2000).join();
        assertThat(keyed.body()).contains("not-run:idempotency-store-unavailable");
        assertThat(fleet.runs("down")).isZero();
        assertThat(book(0, "unkeyed").join().isWhole()).isTrue();
    }

    @Test
    void aServiceThatRanAndLostItsAnswerIsNotRunAgain() {
        fleet.misbehaveDesks("{\"loseAnswers\":1}");

        HttpProbe.Answer answer = book(0, "gone").join();
        assertThat(answer.body()).contains("outcome-unknown");
        assertThat(fleet.runs("gone")).isEqualTo(1);
    }

    @Test
    void plannedStopsCutOffNoRequest() {
        List<CompletableFuture<HttpProbe.Answer>> streams = IntStream.range(0, 6)
                .mapToObj(place -> fleet.http().tell(fleet.routerPort(0), "stream" + place, 150))
                .toList();
        List<CompletableFuture<HttpProbe.Answer>> bookings = bookings("stop", 8);
        ProcessFleet.until(() -> fleet.runsAt(0) > 0);
        fleet.process("router-0").terminate();
        fleet.process("desk-0").terminate();

        assertThat(streams.stream().map(CompletableFuture::join)).allMatch(HttpProbe.Answer::isWhole);
        assertThat(bookings.stream().map(CompletableFuture::join)).allMatch(HttpProbe.Answer::isWhole);
        assertRunsFit(bookings, "stop");
        ProcessFleet.until(() ->
                !fleet.process("router-0").isAlive() && !fleet.process("desk-0").isAlive());
        assertThat(fleet.process("router-0").output()).contains("whole=true");
        assertThat(fleet.process("desk-0").output()).contains("whole=true");
    }

    @Test
    void aFailureDomainThatIsOutGetsNoNewWorkEvenFromAFrozenSidecar() {
        assertThat(bookings("before", 8).stream().map(CompletableFuture::join)).allMatch(HttpProbe.Answer::isWhole);
        fleet.process("desk-0").freeze();
        String out = fleet.command("domain", "out", "d0", "--reason", "test");
        assertThat(out).contains("accepted: revision 2");
        pause(FEW_SECONDS);
        fleet.process("desk-0").thaw();
        int runs = fleet.runsAt(0);

        List<CompletableFuture<HttpProbe.Answer>> answers = bookings("out", 12);
        assertThat(answers.stream().map(CompletableFuture::join)).allMatch(HttpProbe.Answer::isWhole);
        assertThat(fleet.runsAt(0)).isEqualTo(runs);

        assertThat(fleet.command("domain", "in", "d0", "--reason", "test")).contains("accepted: revision 3");
        ProcessFleet.until(() -> {
            bookings("in" + System.nanoTime(), 4).forEach(CompletableFuture::join);
            return fleet.runsAt(0) > runs;
        });
    }

    @Test
    void ofTwoOperatorsWhoRaceOneLosesAndIsToldWhoWon() {
        List<ProgramProcess> racers = IntStream.range(0, 4)
                .mapToObj(number -> fleet.startCommand(
                        "rules",
                        "apply",
                        fleet.rules(ProcessFleet.text() + "domain extra" + number + " in # racer " + number + "\n")))
                .toList();
        List<Integer> codes = racers.stream().map(ProgramProcess::exitCode).toList();
        long accepted = racers.stream()
                .filter(racer -> racer.output().contains("accepted: revision"))
                .count();
        long refused = racers.stream()
                .filter(racer -> racer.output().contains("conflict: revision"))
                .count();

        assertThat(accepted).isPositive();
        List<String> outputs = racers.stream().map(ProgramProcess::output).toList();
        assertThat(accepted + refused).as("what they were told: %s", outputs).isEqualTo(racers.size());
        assertThat(codes.stream().filter(code -> code == 0).count()).isEqualTo(accepted);
    }

    @Test
    void aCutStreamNeverLooksWhole() {
        fleet.misbehaveEngine("{\"cutAfterTokens\":5}");

        HttpProbe.Answer answer =
                fleet.http().tell(fleet.routerPort(0), "cut", 50).join();
        assertThat(answer.isWhole()).isFalse();
    }

    @Test
    void aRouterWithEmptyMemoryServesWhileThePlatformIsDown() {
        fleet.misbehavePlatform(PLATFORM_DOWN);
        fleet.process("router-0").kill();
        fleet.relaunch("router", "router-0");
        fleet.awaitLinked();

        assertThat(book(0, "restarted").join().isWhole()).isTrue();
    }

    @Test
    void nothingIsLeftBehindByCutAndFailedAnswers() {
        fleet.misbehaveEngine("{\"cutAfterTokens\":5}");
        fleet.http().tell(fleet.routerPort(0), "cut", 50).join();
        fleet.misbehaveEngine("{\"failPerMille\":1000}");
        fleet.http().tell(fleet.routerPort(0), "failed", 50).join();
        fleet.misbehaveDesks("{\"loseAnswers\":1}");
        book(0, "lost").join();

        fleet.process("router-0").terminate();
        fleet.process("engine-0").terminate();
        fleet.process("desk-0").terminate();
        fleet.process("desk-1").terminate();
        List.of("router-0", "engine-0", "desk-0", "desk-1").forEach(name -> {
            fleet.process(name).exitCode();
            assertThat(fleet.process(name).output()).as(name).contains("whole=true");
        });
    }
}

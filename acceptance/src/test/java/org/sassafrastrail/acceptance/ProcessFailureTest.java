package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.process.ProcessFleet;
import org.sassafrastrail.acceptance.process.ProgramProcess;
import org.sassafrastrail.acceptance.process.TestHttpClient;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests kills, freezes, lost responses and platform outages with real processes. */
class ProcessFailureTest {

    private static final Duration REACTION_TIME = Duration.ofSeconds(3);
    private static final String PLATFORM_DOWN = "{\"down\":true}";
    private static final long CALL_MILLISECONDS = 600;
    private static final long MAXIMUM_WAIT_MILLISECONDS = 8000;

    private ProcessFleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = new ProcessFleet(CALL_MILLISECONDS);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    private CompletableFuture<TestHttpClient.Response> sendBooking(int router, String identifier) {
        return fleet.http().sendBooking(fleet.routerPort(router), identifier, false, MAXIMUM_WAIT_MILLISECONDS);
    }

    private List<CompletableFuture<TestHttpClient.Response>> bookings(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> sendBooking(number % 2, prefix + number))
                .toList();
    }

    private static void pause(Duration duration) {
        LockSupport.parkNanos(duration.toNanos());
    }

    private void assertRunCountsMatchResponses(
            List<CompletableFuture<TestHttpClient.Response>> responses, String prefix) {
        IntStream.range(0, responses.size()).forEach(number -> {
            TestHttpClient.Response response = responses.get(number).join();
            int runs = fleet.runCount(prefix + number);
            assertThat(runs).as(response.toString()).isLessThanOrEqualTo(1);
            if (response.isOk()) {
                assertThat(runs).isEqualTo(1);
            }
            if (response.body().contains("not-run")) {
                assertThat(runs).as(response.toString()).isZero();
            }
        });
    }

    @Test
    void killedSidecarYieldsUnknownOutcomesAndNoSecondRun() {
        List<CompletableFuture<TestHttpClient.Response>> responses = bookings("kill", 6);
        ProcessFleet.awaitCondition(() -> fleet.requestsRunAt(0) > 0);
        fleet.process("desk-0").kill();

        assertRunCountsMatchResponses(responses, "kill");
        assertThat(responses.stream().map(CompletableFuture::join))
                .anyMatch(response -> response.body().contains("outcome-unknown"));
        fleet.restart("sidecar", "desk-0");
        assertThat(sendBooking(0, "after").join().isOk()).isTrue();
    }

    @Test
    void thawedSidecarCompletesRunningRequests() {
        List<CompletableFuture<TestHttpClient.Response>> responses = bookings("freeze", 6);
        ProcessFleet.awaitCondition(() -> fleet.requestsRunAt(0) > 0);
        fleet.process("desk-0").freeze();
        pause(Duration.ofSeconds(4));
        fleet.process("desk-0").thaw();

        assertRunCountsMatchResponses(responses, "freeze");
        assertThat(responses.stream().map(CompletableFuture::join)).allMatch(TestHttpClient.Response::isOk);
    }

    @Test
    void keyedRetryAtAnotherRouterDoesNotRunTwice() {
        fleet.http().sendBooking(fleet.routerPort(0), "same", true, MAXIMUM_WAIT_MILLISECONDS);
        ProcessFleet.awaitCondition(() -> fleet.runCount("same") == 1);
        fleet.process("router-0").kill();

        TestHttpClient.Response retry = fleet.http()
                .sendBooking(fleet.routerPort(1), "same", true, MAXIMUM_WAIT_MILLISECONDS)
                .join();
        assertThat(retry.body()).contains("idempotency-key-claimed");
        assertThat(fleet.runCount("same")).isEqualTo(1);
    }

    @Test
    void lostClaimResponseIsResolvedByReadingBack() {
        fleet.injectPlatformFault("{\"loseAnswers\":1}");

        TestHttpClient.Response response = fleet.http()
                .sendBooking(fleet.routerPort(0), "lost", true, MAXIMUM_WAIT_MILLISECONDS)
                .join();
        assertThat(response.isOk()).as(response.toString()).isTrue();
        assertThat(fleet.runCount("lost")).isEqualTo(1);
    }

    @Test
    void keyedRequestIsRefusedDuringPlatformOutage() {
        fleet.injectPlatformFault(PLATFORM_DOWN);

        TestHttpClient.Response keyed = fleet.http()
                .sendBooking(fleet.routerPort(0), "down", true, 2000)
                .join();
        assertThat(keyed.body()).contains("not-run:idempotency-store-unavailable");
        assertThat(fleet.runCount("down")).isZero();
        assertThat(sendBooking(0, "unkeyed").join().isOk()).isTrue();
    }

    @Test
    void requestWithLostResponseIsNotRunAgain() {
        fleet.injectDeskFault("{\"loseAnswers\":1}");

        TestHttpClient.Response response = sendBooking(0, "gone").join();
        assertThat(response.body()).contains("outcome-unknown");
        assertThat(fleet.runCount("gone")).isEqualTo(1);
    }

    @Test
    void gracefulShutdownCompletesRunningRequests() {
        List<CompletableFuture<TestHttpClient.Response>> streams = IntStream.range(0, 6)
                .mapToObj(number -> fleet.http().sendModelRequest(fleet.routerPort(0), "stream" + number, 150))
                .toList();
        List<CompletableFuture<TestHttpClient.Response>> bookings = bookings("stop", 8);
        ProcessFleet.awaitCondition(() -> fleet.requestsRunAt(0) > 0);
        fleet.process("router-0").terminate();
        fleet.process("desk-0").terminate();

        assertThat(streams.stream().map(CompletableFuture::join)).allMatch(TestHttpClient.Response::isOk);
        assertThat(bookings.stream().map(CompletableFuture::join)).allMatch(TestHttpClient.Response::isOk);
        assertRunCountsMatchResponses(bookings, "stop");
        ProcessFleet.awaitCondition(() ->
                !fleet.process("router-0").isAlive() && !fleet.process("desk-0").isAlive());
        assertThat(fleet.process("router-0").output()).contains("whole=true");
        assertThat(fleet.process("desk-0").output()).contains("whole=true");
    }

    @Test
    void domainOutOfServiceGetsNoNewRequestsAfterSidecarThaws() {
        assertThat(bookings("before", 8).stream().map(CompletableFuture::join)).allMatch(TestHttpClient.Response::isOk);
        fleet.process("desk-0").freeze();
        String out = fleet.runCommand("domain", "out", "d0", "--reason", "test");
        assertThat(out).contains("accepted: revision 2");
        pause(REACTION_TIME);
        fleet.process("desk-0").thaw();
        int runs = fleet.requestsRunAt(0);

        List<CompletableFuture<TestHttpClient.Response>> responses = bookings("out", 12);
        assertThat(responses.stream().map(CompletableFuture::join)).allMatch(TestHttpClient.Response::isOk);
        assertThat(fleet.requestsRunAt(0)).isEqualTo(runs);

        assertThat(fleet.runCommand("domain", "in", "d0", "--reason", "test")).contains("accepted: revision 3");
        ProcessFleet.awaitCondition(() -> {
            bookings("in" + System.nanoTime(), 4).forEach(CompletableFuture::join);
            return fleet.requestsRunAt(0) > runs;
        });
    }

    @Test
    void concurrentRuleChangesAreAcceptedOrReportedAsConflict() {
        List<ProgramProcess> commands = IntStream.range(0, 4)
                .mapToObj(number -> fleet.startCommand(
                        "rules",
                        "apply",
                        fleet.writeRulesFile(ProcessFleet.defaultRules() + "domain extra" + number + " in # command "
                                + number + "\n")))
                .toList();
        List<Integer> exitCodes =
                commands.stream().map(ProgramProcess::exitCode).toList();
        long accepted = commands.stream()
                .filter(command -> command.output().contains("accepted: revision"))
                .count();
        long conflicts = commands.stream()
                .filter(command -> command.output().contains("conflict: revision"))
                .count();

        assertThat(accepted).isPositive();
        List<String> outputs = commands.stream().map(ProgramProcess::output).toList();
        assertThat(accepted + conflicts).as("command outputs: %s", outputs).isEqualTo(commands.size());
        assertThat(exitCodes.stream().filter(exitCode -> exitCode == 0).count()).isEqualTo(accepted);
    }

    @Test
    void truncatedStreamIsNotReportedAsComplete() {
        fleet.injectEngineFault("{\"cutAfterTokens\":5}");

        TestHttpClient.Response response =
                fleet.http().sendModelRequest(fleet.routerPort(0), "cut", 50).join();
        assertThat(response.isOk()).isFalse();
    }

    @Test
    void restartedRouterServesDuringPlatformOutage() {
        fleet.injectPlatformFault(PLATFORM_DOWN);
        fleet.process("router-0").kill();
        fleet.restart("router", "router-0");
        fleet.awaitReady();

        assertThat(sendBooking(0, "restarted").join().isOk()).isTrue();
    }

    @Test
    void truncatedAndFailedResponsesLeaveNoRunningRequests() {
        fleet.injectEngineFault("{\"cutAfterTokens\":5}");
        fleet.http().sendModelRequest(fleet.routerPort(0), "cut", 50).join();
        fleet.injectEngineFault("{\"failPerMille\":1000}");
        fleet.http().sendModelRequest(fleet.routerPort(0), "failed", 50).join();
        fleet.injectDeskFault("{\"loseAnswers\":1}");
        sendBooking(0, "lost").join();

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

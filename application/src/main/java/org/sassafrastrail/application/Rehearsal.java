package org.sassafrastrail.application;

import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.TimeUnit;

import org.sassafrastrail.gateway.GatewaySettings;
import org.sassafrastrail.http.HttpRequest;
import org.sassafrastrail.http.HttpResponse;
import org.sassafrastrail.http.HttpResult;
import org.sassafrastrail.http.UndertowHttpClient;
import org.sassafrastrail.operator.ExitCode;
import org.sassafrastrail.runtime.Logging;
import org.sassafrastrail.runtime.ServiceFailure;
import org.sassafrastrail.runtime.Services;
import org.sassafrastrail.standins.MinimalPlatform;

/**
 * Runs a gateway on the smallest platform for a moment and ends. The build has the JVM record the classes that this
 * loads, so that a gateway starts with less work.
 */
final class Rehearsal {

    static final String WORD = "rehearse";

    private static final String HOST = "127.0.0.1";
    private static final int ROUNDS = 20;
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final Duration START_PATIENCE = Duration.ofSeconds(30);
    private static final Duration LONGEST = Duration.ofSeconds(60);
    private static final long PAUSE_MILLISECONDS = 50;
    private static final int DONE = 200;
    private static final byte[] BODY = new byte[2_000];

    private final Clock clock;
    private final int callers = freePort();
    private final MinimalPlatform platform;
    private final UndertowHttpClient caller = new UndertowHttpClient(1);

    private Rehearsal(Clock clock, int storePort) {
        this.clock = clock;
        this.platform = new MinimalPlatform(storePort);
    }

    /** Runs the rehearsal and tells whether requests were answered. */
    static ExitCode run(Clock clock, PrintStream output) {
        Logging.setUp("WARN");
        Timer limit = new Timer("rehearsal-limit", true);
        limit.schedule(halt(), LONGEST.toMillis());
        try {
            int storePort = freePort();
            boolean answered = new Rehearsal(clock, storePort).run(storePort);
            output.println(answered ? "rehearsed" : "no request was answered");
            return answered ? ExitCode.DONE : ExitCode.FAILED;
        } catch (ServiceFailure failure) {
            output.println("not rehearsed: " + failure.getMessage());
            return ExitCode.FAILED;
        } finally {
            limit.cancel();
        }
    }

    /** A build must not wait for a rehearsal that hangs. */
    private static TimerTask halt() {
        return new TimerTask() {
            @Override
            public void run() {
                Runtime.getRuntime().halt(ExitCode.FAILED.number());
            }
        };
    }

    private boolean run(int storePort) {
        GatewaySettings settings = new GatewaySettings(
                "rehearsal",
                HOST + ":" + callers,
                HOST + ":" + freePort(),
                HOST + ":" + freePort(),
                List.of(),
                HOST + ":" + storePort,
                null,
                null,
                null,
                null,
                1.0,
                null,
                "INFO");
        Services services = new Services(List.of(platform, caller, PlatformGateway.of(settings, clock)));
        services.start();
        boolean answered = awaitFirstAnswer();
        for (int round = 0; answered && round < ROUNDS; round++) {
            for (String path : platform.samplePaths()) {
                answer(path, path + round);
            }
        }
        services.stop();
        return answered;
    }

    private boolean awaitFirstAnswer() {
        long end = clock.millis() + START_PATIENCE.toMillis();
        while (clock.millis() < end) {
            if (answer(platform.samplePaths().get(0), "first").equals(Optional.of(DONE))) {
                return true;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    /** Reads an answer whole and returns its status, or nothing if it was not whole. */
    private Optional<Integer> answer(String path, String request) {
        HttpResult result = caller.send(
                new HttpRequest(HOST, callers, "POST", path, platform.requestHeaders(request), BODY, PATIENCE, true));
        if (result instanceof HttpResult.Responded answered) {
            try (HttpResponse answer = answered.response()) {
                answer.body().readAllBytes();
                return Optional.of(answer.status());
            } catch (IOException broken) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new ServiceFailure("a free port", failure);
        }
    }
}

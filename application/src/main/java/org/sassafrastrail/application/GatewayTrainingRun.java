package org.sassafrastrail.application;

import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.sassafrastrail.gateway.GatewaySettings;
import org.sassafrastrail.http.HttpRequest;
import org.sassafrastrail.http.HttpResponse;
import org.sassafrastrail.http.HttpResult;
import org.sassafrastrail.http.UndertowHttpClient;
import org.sassafrastrail.operator.ExitCode;
import org.sassafrastrail.runtime.CompositeService;
import org.sassafrastrail.runtime.Logging;
import org.sassafrastrail.runtime.ServiceStartException;
import org.sassafrastrail.runtime.SettingsReader;
import org.sassafrastrail.runtime.SettingsResult;
import org.sassafrastrail.standins.MinimalPlatform;

/**
 * The {@code rehearse} command, a training run for class data sharing. It runs a gateway against a minimal platform for
 * a few requests while the JVM records the loaded classes in an archive, which shortens the start of gateways.
 */
final class GatewayTrainingRun {

    static final String WORD = "rehearse";

    private static final String HOST = "127.0.0.1";
    private static final int ROUNDS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration MAX_DURATION = Duration.ofSeconds(60);
    private static final long RETRY_PAUSE_MILLISECONDS = 50;
    private static final int OK = 200;
    private static final byte[] BODY = new byte[2_000];

    private final Clock clock;
    private final int callerPort = freePort();
    private final MinimalPlatform platform;
    private final UndertowHttpClient client = new UndertowHttpClient(1);

    private GatewayTrainingRun(Clock clock, int storePort) {
        this.clock = clock;
        this.platform = new MinimalPlatform(storePort);
    }

    /** Runs the training run, which fails if no request is answered. */
    static ExitCode run(Clock clock, PrintStream output) {
        Logging.configure("WARN");
        Timer limit = new Timer("rehearsal-limit", true);
        limit.schedule(halt(), MAX_DURATION.toMillis());
        try {
            int storePort = freePort();
            boolean responded = new GatewayTrainingRun(clock, storePort).run(storePort);
            output.println(responded ? "rehearsed" : "no request was answered");
            return responded ? ExitCode.DONE : ExitCode.FAILED;
        } catch (ServiceStartException failure) {
            output.println("not rehearsed: " + failure.getMessage());
            return ExitCode.FAILED;
        } finally {
            limit.cancel();
        }
    }

    /** Returns a task that ends the process, so that a training run that hangs does not block the build. */
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
                null,
                HOST + ":" + callerPort,
                HOST + ":" + freePort(),
                HOST + ":" + freePort(),
                List.of(),
                HOST + ":" + storePort,
                null,
                null,
                null,
                null,
                null,
                null,
                2.0,
                null,
                null,
                "INFO");
        if (!(readBack(settings) instanceof SettingsResult.Accepted<GatewaySettings>)) {
            return false;
        }
        CompositeService services =
                new CompositeService(List.of(platform, client, PlatformGatewayFactory.create(settings, clock)));
        services.start();
        boolean responded = awaitFirstResponse();
        for (int round = 0; responded && round < ROUNDS; round++) {
            for (String path : platform.samplePaths()) {
                send(path, path + round);
            }
        }
        services.stop();
        return responded;
    }

    /** Writes the settings to a file and reads them, so that the classes of the reader are recorded too. */
    private static SettingsResult<GatewaySettings> readBack(GatewaySettings settings) {
        try {
            Path file = Files.createTempFile("training", ".json");
            try {
                new ObjectMapper().writeValue(file.toFile(), settings);
                return new SettingsReader<>(GatewaySettings.class).read(file);
            } finally {
                Files.delete(file);
            }
        } catch (IOException failure) {
            throw new ServiceStartException("settings of the training run", failure);
        }
    }

    private boolean awaitFirstResponse() {
        long end = clock.millis() + START_TIMEOUT.toMillis();
        while (clock.millis() < end) {
            if (send(platform.samplePaths().get(0), "first").equals(Optional.of(OK))) {
                return true;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLISECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    /** Sends a request, reads its response fully and returns the status, or empty if there was no complete response. */
    private Optional<Integer> send(String path, String request) {
        HttpResult result = client.send(
                new HttpRequest(HOST, callerPort, "POST", path, platform.requestHeaders(request), BODY, TIMEOUT, true));
        if (result instanceof HttpResult.Responded responded) {
            try (HttpResponse response = responded.response()) {
                response.body().readAllBytes();
                return Optional.of(response.status());
            } catch (IOException truncated) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new ServiceStartException("allocation of a free port", failure);
        }
    }
}

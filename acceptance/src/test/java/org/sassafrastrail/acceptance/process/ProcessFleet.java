package org.sassafrastrail.acceptance.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.sassafrastrail.operator.OperatorSettings;
import org.sassafrastrail.router.RouterSettings;
import org.sassafrastrail.rules.KeyDigest;
import org.sassafrastrail.sidecar.SidecarSettings;
import org.sassafrastrail.standins.FreePorts;
import org.sassafrastrail.standins.StandInSettings;

/**
 * Runs a fleet as processes: two routers, a sidecar for each of two booking desks and one for a model engine, and the
 * stand-ins.
 */
public final class ProcessFleet implements AutoCloseable {

    public static final String HOST = "127.0.0.1";
    public static final String CLIENT_KEY = "guest-key";

    private static final String LINK_KEY = "test-link-key";
    private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final int DESKS = 2;

    private final ObjectMapper mapper = new ObjectMapper();
    private final Path folder;
    private final Map<String, ProgramProcess> processes = new HashMap<>();
    private final Map<String, Path> settings = new HashMap<>();
    private final int platformPort = FreePorts.next();
    private final int enginePort = FreePorts.next();
    private final List<Integer> deskPorts = new ArrayList<>();
    private final List<Integer> routerPorts = List.of(FreePorts.next(), FreePorts.next());
    private final List<Integer> controlPorts =
            IntStream.range(0, DESKS + 2).mapToObj(number -> FreePorts.next()).toList();
    private final TestHttpClient http = new TestHttpClient();

    public ProcessFleet(long callMilliseconds) {
        try {
            folder = Files.createTempDirectory("fleet");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        IntStream.range(0, DESKS).forEach(number -> deskPorts.add(FreePorts.next()));
        try {
            start(callMilliseconds);
        } catch (RuntimeException | AssertionError failure) {
            close();
            throw failure;
        }
    }

    private void start(long callMilliseconds) {
        write("standins", standInSettings(callMilliseconds));
        launch("standin", "standins");
        IntStream.range(0, DESKS)
                .forEach(number -> startSidecar("desk-" + number, "desk", deskPorts.get(number), number));
        startSidecar("engine-0", "legend", enginePort, DESKS);
        IntStream.range(0, routerPorts.size()).forEach(this::startRouter);
        write("operator", operatorSettings());
        awaitCondition(() -> isReachable(platformPort, "/calls"));
        String applied = runCommand("rules", "apply", writeRulesFile(defaultRules()));
        if (!applied.contains("accepted")) {
            throw new IllegalStateException(applied);
        }
        awaitReady();
    }

    /** Waits until every router has a configuration and is linked to all sidecars. */
    public void awaitReady() {
        routerPorts.forEach(
                port -> awaitCondition(() -> http.get(port, "/ready", Map.of()).contains("true")));
        routerPorts.forEach(
                port -> awaitCondition(() -> http.status(port, LINK_KEY).contains("engine-0")
                        && http.status(port, LINK_KEY).contains("desk-0")
                        && http.status(port, LINK_KEY).contains("desk-1")));
    }

    public static String defaultRules() {
        return "service desk version v1 cold 2 warm 4 repeat no # test\n"
                + "model legend version v1 cold 2 warm 8 repeat yes # test\n"
                + "domain d0 in # test\ndomain d1 in # test\ndomain d2 in # test\ndomain d3 in # test\n"
                + "account guest weight 1 queue 100 key "
                + KeyDigest.of(CLIENT_KEY).text() + " # test\n";
    }

    private StandInSettings standInSettings(long callMilliseconds) {
        List<StandInSettings.VmSettings> vms = IntStream.range(0, DESKS + 2)
                .mapToObj(number -> new StandInSettings.VmSettings(
                        nodeName(number), "sidecar", HOST, controlPorts.get(number), false))
                .toList();
        return new StandInSettings(
                HOST,
                List.of(new StandInSettings.PlatformSettings(platformPort, 1_000_000, vms)),
                List.of(new StandInSettings.EngineSettings(enginePort, 2, 8, 3, 5, 300, true)),
                deskPorts.stream()
                        .map(port -> new StandInSettings.ServiceSettings(port, callMilliseconds))
                        .toList(),
                "WARN");
    }

    private static String nodeName(int number) {
        return number < DESKS ? "desk-" + number : "engine-" + (number - DESKS);
    }

    /** Starts a second sidecar for the model engine that reports the new version. */
    public void startNewVersion() {
        startSidecar("engine-1", "legend", "v2", enginePort, DESKS + 1);
        awaitCondition(() -> routerPorts.stream()
                .allMatch(port -> http.status(port, LINK_KEY).contains("engine-1")));
    }

    private void startSidecar(String node, String target, int upstreamPort, int number) {
        startSidecar(node, target, "v1", upstreamPort, number);
    }

    private void startSidecar(String node, String target, String version, int upstreamPort, int number) {
        write(
                node,
                new SidecarSettings(
                        node,
                        HOST,
                        controlPorts.get(number),
                        FreePorts.next(),
                        LINK_KEY,
                        target,
                        version,
                        "d" + number,
                        HOST,
                        upstreamPort,
                        "additive",
                        "INFO"));
        launch("sidecar", node);
    }

    private void startRouter(int number) {
        List<String> seeds =
                controlPorts.stream().map(port -> HOST + ":" + port).toList();
        String node = "router-" + number;
        write(
                node,
                new RouterSettings(
                        node,
                        HOST,
                        routerPorts.get(number),
                        LINK_KEY,
                        HOST,
                        platformPort,
                        500,
                        seeds,
                        64,
                        10_000,
                        100_000,
                        number,
                        "INFO"));
        launch("router", node);
    }

    private OperatorSettings operatorSettings() {
        return new OperatorSettings(
                "tester",
                LINK_KEY,
                HOST,
                platformPort,
                1000,
                routerPorts.stream().map(port -> HOST + ":" + port).toList());
    }

    private void write(String name, Object content) {
        try {
            Path file = folder.resolve(name + ".json");
            mapper.writeValue(file.toFile(), content);
            settings.put(name, file);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void launch(String program, String name) {
        processes.put(
                name, ProgramProcess.start(folder, program, settings.get(name).toString()));
    }

    /** Starts a stopped program again, with empty memory. */
    public void restart(String program, String name) {
        launch(program, name);
    }

    public ProgramProcess process(String name) {
        return processes.get(name);
    }

    public TestHttpClient http() {
        return http;
    }

    public int routerPort(int number) {
        return routerPorts.get(number);
    }

    public int controlPort(int number) {
        return controlPorts.get(number);
    }

    /** Writes a rule file and returns its path. */
    public String writeRulesFile(String text) {
        try {
            return Files.writeString(Files.createTempFile(folder, "rules", ".txt"), text)
                    .toString();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Runs an operator command and returns its output. */
    public String runCommand(String... arguments) {
        ProgramProcess command = startCommand(arguments);
        command.exitCode();
        return command.output();
    }

    public ProgramProcess startCommand(String... arguments) {
        List<String> commandLine = new ArrayList<>(List.of(arguments));
        commandLine.add("--settings");
        commandLine.add(settings.get("operator").toString());
        return ProgramProcess.start(folder, commandLine.toArray(String[]::new));
    }

    public void injectPlatformFault(String json) {
        http.post(platformPort, "/misbehave", json, Map.of());
    }

    public void injectDeskFault(String json) {
        deskPorts.forEach(port -> http.post(port, "/misbehave", json, Map.of()));
    }

    public void injectEngineFault(String json) {
        http.post(enginePort, "/misbehave", json, Map.of());
    }

    /** Returns how often a request ran, summed over both desks. */
    public int runCount(String identifier) {
        return deskPorts.stream()
                .mapToInt(port -> http.runCount(port, identifier))
                .sum();
    }

    /** Returns the number of distinct requests that ran at one desk. */
    public int requestsRunAt(int desk) {
        return http.requestsRun(deskPorts.get(desk));
    }

    public static void awaitCondition(BooleanSupplier condition) {
        Instant deadline = Instant.now().plus(CONDITION_TIMEOUT);
        while (!condition.getAsBoolean()) {
            if (Instant.now().isAfter(deadline)) {
                throw new AssertionError("condition not met within " + CONDITION_TIMEOUT);
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    private boolean isReachable(int port, String path) {
        return http.isReachable(port, path);
    }

    @Override
    public void close() {
        processes.values().forEach(ProgramProcess::thaw);
        processes.values().forEach(ProgramProcess::kill);
    }
}

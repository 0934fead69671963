package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A gateway as a process of its own, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final List<String> ENVIRONMENT = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
    private static final double START_SECONDS = 30;

    private final Process process;
    private final int callers;
    private final int readiness;
    private final Path log;

    /**
     * Starts a gateway.
     *
     * @param root the root of the repository
     * @param folder a temporary folder for its settings and its log
     * @param zone its zone
     * @param ports its ports for callers, readiness and other gateways
     * @param seed the port of a gateway that the others connect to
     */
    Gateway(Path root, Path folder, String name, String zone, int[] ports, int seed, Store store) throws IOException {
        callers = ports[0];
        readiness = ports[1];
        log = folder.resolve(name + ".log");
        Path settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                """
                {"node": "%s", "failureDomain": "%s", "callers": "127.0.0.1:%d", "readiness": "127.0.0.1:%d",
                 "links": "127.0.0.1:%d", "seeds": ["127.0.0.1:%d"], "store": "%s", "repeatShare": 0.2,
                 "repeatExtra": 56, "coldFactor": 1.5, "coldExtra": 5, "newVersionShare": 0.1, "newVersionExtra": 50,
                 "graceSeconds": 8, "quotaWindowSeconds": 4, "logLevel": "INFO"}
                """
                        .formatted(name, zone, ports[0], ports[1], ports[2], seed, store.address()));
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no line that starts the gateway");
        }
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        Map<String, String> kept = builder.environment().entrySet().stream()
                .filter(variable -> ENVIRONMENT.contains(variable.getKey()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        builder.environment().clear();
        builder.environment().putAll(kept);
        builder.environment().put("SASSAFRASTRAIL_SETTINGS", settings.toString());
        process = builder.start();
    }

    static int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int index = 0; index < count; index++) {
            sockets[index] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            ports[index] = sockets[index].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    int callers() {
        return callers;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    List<String> lastLogLines(int count) throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.subList(Math.max(0, lines.size() - count), lines.size());
    }

    void awaitReady() throws IOException {
        long end = System.nanoTime() + Math.round(START_SECONDS * 1e9);
        while (System.nanoTime() < end && isAlive()) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), readiness)) {
                socket.getOutputStream()
                        .write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                if (Http.readHead(socket.getInputStream()).status() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                // The process has not opened its ports yet.
            }
            Threads.sleep(0.1);
        }
        throw new IOException("the gateway has ended or is not ready after " + START_SECONDS + " s");
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}

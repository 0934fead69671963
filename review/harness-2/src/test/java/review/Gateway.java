package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway, started as a process of its own with the command of the deploy file. */
final class Gateway implements AutoCloseable {

    final String node;
    final int callers;
    final int readiness;
    final String links;
    private final Path log;
    private final Process process;

    /** The ports of a gateway, chosen before any is started, because the gateways name each other. */
    record Ports(int callers, int readiness, int links) {

        static List<Ports> choose(int gateways) throws IOException {
            List<ServerSocket> sockets = new ArrayList<>();
            for (int each = 0; each < 3 * gateways; each++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            List<Ports> chosen = new ArrayList<>();
            for (int each = 0; each < gateways; each++) {
                chosen.add(new Ports(
                        sockets.get(3 * each).getLocalPort(),
                        sockets.get(3 * each + 1).getLocalPort(),
                        sockets.get(3 * each + 2).getLocalPort()));
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return chosen;
        }
    }

    Gateway(Path root, Path folder, String node, Ports ports, String seeds, String store) throws IOException {
        this.node = node;
        this.callers = ports.callers();
        this.readiness = ports.readiness();
        this.links = "127.0.0.1:" + ports.links();
        Path settings = folder.resolve(node + ".json");
        Files.writeString(settings, """
                {"node": "%s", "failureDomain": "%s", "callers": "127.0.0.1:%d", "readiness": "127.0.0.1:%d",
                 "links": "%s", "seeds": [%s], "store": "%s", "repeatShare": 0.2, "repeatExtra": 56, "coldFactor": 1.5,
                 "coldExtra": 5, "newVersionShare": 0.1, "newVersionExtra": 50, "graceSeconds": 8,
                 "quotaWindowSeconds": 4, "logLevel": "INFO"}
                """.formatted(node, node, callers, readiness, links, seeds, store));
        this.log = folder.resolve(node + ".log");
        ProcessBuilder builder = new ProcessBuilder(command(root));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("SASSAFRASTRAIL_SETTINGS", settings.toString());
        builder.directory(root.toFile());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.to(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Reads the words of the line run in the deploy file. */
    private static List<String> command(Path root) throws IOException {
        String line = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        while (!isReady()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IllegalStateException("gateway " + node + " is not ready");
            }
            Thread.sleep(100);
        }
    }

    boolean isReady() {
        try {
            HttpURLConnection check = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + readiness + "/readiness").toURL().openConnection();
            check.setConnectTimeout(500);
            check.setReadTimeout(500);
            return check.getResponseCode() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Waits until the gateway has logged a line with this text. */
    void awaitLog(String text) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!Files.readString(log).contains(text)) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("gateway " + node + " has not logged: " + text);
            }
            Thread.sleep(50);
        }
    }

    List<String> logLines(String text) throws IOException {
        return Files.readAllLines(log).stream().filter(line -> line.contains(text)).toList();
    }

    void terminate() {
        process.destroy();
    }

    void kill() {
        process.destroyForcibly();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    boolean awaitEnd(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    long pid() {
        return process.pid();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}

package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, workers and gateways. Ends all that it started. */
final class Setup implements AutoCloseable {

    /** The exit codes of the cases, which no fault of the virtual machine has. The scripts turn them into 0 and 1. */
    private static final int HELD = 10;

    private static final int BROKEN = 11;
    private static final int NOT_RUN = 2;

    /** A script may take 120 s. */
    private static final long LONGEST_SECONDS = 115;

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Record record;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    private final List<Gateway.Ports> ports = new ArrayList<>();

    Setup(Path record) throws Exception {
        this.record = new Record(record);
        this.folder = Files.createTempDirectory("review");
        this.store = new Store();
    }

    /** A case, which returns whether the rule was broken. */
    interface Case {
        boolean run(Setup setup) throws Exception;
    }

    /** Runs a case and ends all that it started. Returns the exit code. */
    static int play(Path record, Case script) {
        Worker.daemon(Setup::exitAfterLongestTime);
        try (Setup setup = new Setup(record)) {
            return script.run(setup) ? BROKEN : HELD;
        } catch (Exception failed) {
            failed.printStackTrace();
            return NOT_RUN;
        }
    }

    private static void exitAfterLongestTime() {
        try {
            TimeUnit.SECONDS.sleep(LONGEST_SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        System.err.println("not over after " + LONGEST_SECONDS + " s");
        System.exit(NOT_RUN);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Writes the first config. */
    void configure(String routes, String services) {
        configure(1, routes, services);
    }

    void configure(long version, String routes, String services) {
        store.put("op", "config", """
                {"version":%d,"routes":[%s],"services":[%s],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,
                 "tokensPerS":644000},"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]}"""
                .formatted(version, routes, services));
    }

    static String route(String name, String kind, long timeoutMs, long sloMs, String service, int maxAttempts, boolean resumable) {
        return """
                {"name":"%s","host":"app.example","prefix":"/%s/","kind":"%s","timeoutMs":%d,"sloMs":%d,"priority":1,\
                "service":"%s","maxAttempts":%d,"anonymous":false,"sticky":false,"resumable":%b,"gapSloMs":400}"""
                .formatted(name, name, kind, timeoutMs, sloMs, service, maxAttempts, resumable);
    }

    static String service(String name) {
        return """
                {"name":"%s","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}"""
                .formatted(name);
    }

    /** Starts gateways and waits until each is ready. */
    void start(int count) throws Exception {
        ports.addAll(Gateway.Ports.choose(count));
        startAll();
    }

    /** Kills all gateways at the same moment, and starts them again. */
    void killAndStartAll() throws Exception {
        gateways.forEach(Gateway::kill);
        gateways.forEach(Gateway::close);
        gateways.clear();
        startAll();
    }

    private void startAll() throws Exception {
        String seeds = String.join(",", ports.stream().limit(3).map(each -> "\"127.0.0.1:" + each.links() + "\"").toList());
        for (Gateway.Ports each : ports) {
            String node = "gateway-" + (gateways.size() + 1);
            gateways.add(new Gateway(root, folder, node, each, seeds, store.address()));
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
            gateway.awaitLog("event=upstream-found");
        }
    }

    @Override
    public void close() throws IOException {
        gateways.forEach(Gateway::close);
        store.close();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}

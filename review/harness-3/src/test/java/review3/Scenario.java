package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The frame of a case: a store and gateways as processes, its record, and its exit code. */
abstract class Scenario {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final int MAX_STARTS = 3;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Gateway> gateways = new ArrayList<>();
    Store store;
    Record record;

    /** Plays the case, and returns whether the rule was broken. */
    abstract boolean play() throws Exception;

    /** Puts what has to be in the store before the gateways start. */
    abstract void prepare() throws Exception;

    /** Returns the zones of the gateways, one each. */
    abstract List<String> zones();

    final void run(String[] arguments) {
        Path root = Path.of(arguments[0]);
        int code = COULD_NOT_RUN;
        Path folder = null;
        Thread ending = new Thread(() -> gateways.forEach(Gateway::close));
        Runtime.getRuntime().addShutdownHook(ending);
        try {
            folder = Files.createTempDirectory("review");
            record = new Record(Path.of(arguments[1]).resolve("record.txt"));
            store = new Store();
            prepare();
            startGateways(root, folder);
            code = play() ? BROKEN : HELD;
        } catch (Exception failure) {
            failure.printStackTrace();
        } finally {
            gateways.forEach(Gateway::close);
            if (record != null) {
                record.result(code == HELD ? "held" : code == BROKEN ? "broken" : "could not run");
                record.close();
            }
            delete(folder);
        }
        Runtime.getRuntime().halt(code);
    }

    /** Starts the gateways, once more with other ports if another process has taken one of theirs meanwhile. */
    private void startGateways(Path root, Path folder) throws Exception {
        boolean started = false;
        for (int tries = 0; !started && tries < MAX_STARTS; tries++) {
            gateways.forEach(Gateway::close);
            gateways.clear();
            startGatewaysOnce(root, folder);
            Threads.sleep(1.5);
            started = gateways.stream().allMatch(Gateway::isAlive);
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        Threads.sleep(1);
        record.add("gateways ready" + (trouble ? "" : ", without the disruption"));
    }

    private void startGatewaysOnce(Path root, Path folder) throws Exception {
        int[] ports = Gateway.freePorts(3 * zones().size());
        for (int index = 0; index < zones().size(); index++) {
            int[] own = {ports[3 * index], ports[3 * index + 1], ports[3 * index + 2]};
            gateways.add(new Gateway(
                    root, folder, "edge-" + (index + 1), zones().get(index), own, ports[2], store));
        }
    }

    private static void delete(Path folder) {
        if (folder == null) {
            return;
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (Exception failure) {
            System.err.println("not deleted: " + folder);
        }
    }
}

package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A worker leaves; three seconds later the store comes back from a copy that still has the worker's last entry. */
final class OldEntry extends Scenario {

    private static final String SERVICE = "bookdesk";
    private static final String ZONE = "almaty-a";
    private static final int CLIENTS = 8;
    private static final double WORK_SECONDS = 0.3;
    private static final double DRAIN_SECONDS = 2;

    /** From the leaving worker's last entry to the copy, and from the copy to the end of the worker's registration. */
    private static final double COPIED_AFTER_SECONDS = 0.2;

    private static final double LEAVES_AFTER_SECONDS = 0.4;

    /** How old the copy is when the store goes away, and how long the store is away. */
    private static final double COPY_AGE_SECONDS = 3;

    private static final double AWAY_SECONDS = 0.5;

    /** When the config and the end of the registration are written again, from the store's return. */
    private static final double WRITTEN_AGAIN_AFTER_SECONDS = 2;

    /** When the worker ends, from the store's return. */
    private static final double ENDS_AFTER_SECONDS = 1.8;

    private final Map<String, Double> reachedLeaving = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private volatile boolean stopped;
    private Worker leaving;

    public static void main(String[] arguments) {
        new OldEntry().run(arguments);
    }

    @Override
    List<String> zones() {
        return List.of(ZONE, ZONE);
    }

    private static String config() {
        return new Config()
                .service(SERVICE)
                .route("/book/", "non_idempotent", SERVICE, 1, 3000, false)
                .toJson(1);
    }

    @Override
    void prepare() throws Exception {
        store.put("op", "config", config());
        leaving = new Worker("desk-1", SERVICE, ZONE, 6, store, this::answer);
        new Worker("desk-2", SERVICE, ZONE, 6, store, this::answer);
    }

    private boolean answer(Worker worker, Http.Head head, InputStream input, OutputStream output) throws IOException {
        if (worker == leaving) {
            reachedLeaving.put(head.field("x-request-id"), record.seconds());
        }
        Http.readBody(input, head);
        Threads.sleep(WORK_SECONDS);
        Worker.send(output, 200, head, "Keep-Alive: timeout=5\r\n", "booked");
        return true;
    }

    private void book(int client) {
        try (Caller caller = new Caller(gateways.get(client % gateways.size()).callers())) {
            for (int number = 0; !stopped; number++) {
                String request = "b" + client + "-" + number;
                int status = caller.send(
                                "POST",
                                "/book/seat",
                                "X-Request-Id: " + request + "\r\nX-Request-Deadline: 3000\r\n",
                                new byte[600])
                        .status();
                answers.put(request, status);
                if (status != 200) {
                    record.add(request + " answered " + status);
                    Threads.sleep(0.1);
                }
            }
        }
    }

    @Override
    boolean play() throws Exception {
        for (int client = 0; client < CLIENTS; client++) {
            int own = client;
            Threads.start("client", () -> book(own));
        }
        Threads.sleep(6);
        int entries = leaving.entries();
        while (leaving.entries() == entries) {
            Threads.sleep(0.01);
        }
        Threads.sleep(COPIED_AFTER_SECONDS);
        store.copy();
        Threads.sleep(LEAVES_AFTER_SECONDS);
        leaving.leave();
        double leftAt = record.seconds();
        record.add("the store has accepted that desk-1 is gone");
        Threads.sleep(COPY_AGE_SECONDS - LEAVES_AFTER_SECONDS);
        if (trouble) {
            store.goAway();
            record.add("the store is away");
            Threads.sleep(AWAY_SECONDS);
            store.comeBackFromCopy();
            record.add("the store is back from its copy");
        } else {
            Threads.sleep(AWAY_SECONDS);
        }
        Threads.sleep(ENDS_AFTER_SECONDS);
        leaving.crash();
        record.add("desk-1 has ended");
        Threads.sleep(WRITTEN_AGAIN_AFTER_SECONDS - ENDS_AFTER_SECONDS);
        store.put("op", "config", config());
        store.remove("servers", leaving.identifier());
        record.add("what the operator and desk-1 wrote is written again");
        Threads.sleep(3);
        stopped = true;
        Threads.sleep(1);
        List<String> late = reachedLeaving.entrySet().stream()
                .filter(request -> request.getValue() > leftAt + DRAIN_SECONDS)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        late.forEach(request -> record.add(String.format(
                "%s reached desk-1 %.3f s after it was gone, answered %d",
                request, reachedLeaving.get(request) - leftAt, answers.getOrDefault(request, Caller.NO_ANSWER))));
        long lost = late.stream().filter(request -> answers.getOrDefault(request, 0) != 200).count();
        record.result(late.size() + " of " + answers.size() + " bookings reached desk-1 later than drainMs after it was gone, "
                + lost + " of them got no success");
        return !late.isEmpty();
    }
}

package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A config adds a route with a longer prefix, which some paths of the older route do not begin with but look like. */
final class PathParameters extends Scenario {

    private static final String ZONE = "almaty-a";
    private static final int ROUNDS = 100;
    private static final double PAUSE_SECONDS = 0.1;
    private static final int CONFIG_AFTER = 30;

    /** Each begins with the prefix of the older route only: the newer one has a slash where these have a semicolon. */
    private static final List<String> PATHS = List.of("/book/seats;walk=7/reserve", "/book/seats;/reserve");

    private static final String OLDER = "/book/";
    private static final String NEWER = "/book/seats/";

    private final Map<String, String> runAt = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        new PathParameters().run(arguments);
    }

    @Override
    List<String> zones() {
        return List.of(ZONE);
    }

    private static Config older() {
        return new Config()
                .service("bookdesk")
                .service("seatplan")
                .route(OLDER, "non_idempotent", "bookdesk", 1, 3000, false);
    }

    @Override
    void prepare() throws Exception {
        store.put("op", "config", older().toJson(1));
        new Worker("bookdesk-1", "bookdesk", ZONE, 6, store, this::answer);
        new Worker("seatplan-1", "seatplan", ZONE, 6, store, this::answer);
    }

    private boolean answer(Worker worker, Http.Head head, InputStream input, OutputStream output) throws IOException {
        Http.readBody(input, head);
        runAt.put(head.field("x-request-id"), worker.identifier() + " " + head.word(1));
        Worker.send(output, 200, head, "", "done by " + worker.identifier());
        return true;
    }

    @Override
    boolean play() throws Exception {
        List<String> wrong = new ArrayList<>();
        try (Caller caller = new Caller(gateways.get(0).callers())) {
            for (int round = 0; round < ROUNDS; round++) {
                if (trouble && round == CONFIG_AFTER) {
                    store.put(
                            "op",
                            "config",
                            older().route(NEWER, "non_idempotent", "seatplan", 1, 3000, false).toJson(2));
                    record.add("config 2 adds " + NEWER + " to seatplan");
                }
                String request = "q" + round;
                String path = PATHS.get(round % PATHS.size());
                Caller.Answer answer = caller.send(
                        "POST",
                        path,
                        "X-Request-Id: " + request + "\r\nX-Request-Deadline: 3000\r\n",
                        new byte[100]);
                String run = runAt.getOrDefault(request, "no worker");
                record.add(request + " " + path + " answered " + answer.status() + ", run by " + run);
                if (run.startsWith("seatplan")) {
                    wrong.add(request);
                }
                Threads.sleep(PAUSE_SECONDS);
            }
        }
        record.result(wrong.size() + " of " + ROUNDS + " requests, whose paths begin with " + OLDER + " and not with "
                + NEWER + ", were run by the service of " + NEWER);
        return !wrong.isEmpty();
    }
}

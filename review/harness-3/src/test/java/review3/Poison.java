package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** One part of a prompt crashes each worker that begins to write an answer on it: it crashes after its first event. */
final class Poison extends Scenario {

    private static final String SERVICE = "storyteller";
    private static final String ZONE = "almaty-a";
    private static final int WORKERS = 4;
    private static final double BACK_AFTER_SECONDS = 4;
    private static final double PREFILL_SECONDS = 0.08;
    private static final double PAUSE_SECONDS = 0.02;
    private static final int EVENTS = 9;

    private static final double CALM_SECONDS = 10;
    private static final double SECONDS = 70;
    private static final double SOUND_EVERY_SECONDS = 0.05;
    private static final double CRASHING_EVERY_SECONDS = 0.5;
    private static final String CRASHING_PART = "dead0001";

    private static final double CONTACT_SECONDS = 3;
    private static final int CRASHES_COUNTED = 5;
    private static final int CRASHING_ALLOWED = 3;
    private static final int MIN_SOUND = 20;

    private final List<Double> crashes = new CopyOnWriteArrayList<>();
    private final List<Double> crashingRuns = new CopyOnWriteArrayList<>();
    private final Map<String, Double> sentAt = new ConcurrentHashMap<>();
    private final Map<String, Boolean> begun = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private int workers;

    public static void main(String[] arguments) {
        new Poison().run(arguments);
    }

    @Override
    List<String> zones() {
        return List.of(ZONE, ZONE);
    }

    @Override
    void prepare() throws Exception {
        store.put(
                "op",
                "config",
                new Config()
                        .service(SERVICE)
                        .route("/tell/", "streaming", SERVICE, 1, 4000, true)
                        .toJson(1));
        for (int number = 0; number < WORKERS; number++) {
            startWorker();
        }
    }

    private synchronized void startWorker() throws IOException {
        workers++;
        new Worker("model-" + workers, SERVICE, ZONE, 128, store, this::answer);
    }

    private boolean answer(Worker worker, Http.Head head, InputStream input, OutputStream output) throws Exception {
        Http.readBody(input, head);
        boolean crashing = head.field("x-prompt-prefix").contains(CRASHING_PART);
        if (crashing) {
            crashingRuns.add(record.seconds());
        }
        Threads.sleep(PREFILL_SECONDS);
        output.write(("HTTP/1.1 200 X\r\nX-Request-Id: " + head.field("x-request-id")
                        + "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        begun.put(head.field("x-request-id"), true);
        for (int event = 1; event <= EVENTS; event++) {
            write(output, "id: " + event + "\ndata: words\n\n");
            if (crashing) {
                crash(worker, head);
                return false;
            }
            Threads.sleep(PAUSE_SECONDS);
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        return true;
    }

    private static void write(OutputStream output, String event) throws IOException {
        output.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private void crash(Worker worker, Http.Head head) throws IOException {
        Threads.sleep(PAUSE_SECONDS);
        worker.crash();
        crashes.add(record.seconds());
        record.add(worker.identifier() + " crashes on " + head.field("x-request-id"));
        Threads.start("restart", () -> {
            Threads.sleep(BACK_AFTER_SECONDS);
            startWorker();
        });
    }

    private void send(String request, String prefix, int gateway) {
        sentAt.put(request, record.seconds());
        try (Caller caller = new Caller(gateways.get(gateway).callers())) {
            int status = caller.send(
                            "POST",
                            "/tell/tale",
                            "X-Request-Id: " + request + "\r\nX-Model: m\r\nX-Token-Count: 1000,50\r\nX-Prompt-Prefix: "
                                    + prefix + "\r\nX-Request-Deadline: 4000\r\n",
                            new byte[2000])
                    .status();
            answers.put(request, status);
            if (status != 200) {
                record.add(request + " answered " + status + (begun.containsKey(request) ? ", begun" : ", not begun"));
            }
        }
    }

    @Override
    boolean play() throws Exception {
        double beganAt = record.seconds();
        double nextCrashing = beganAt + CALM_SECONDS;
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; record.seconds() - beganAt < SECONDS; number++) {
            int own = number;
            clients.add(Threads.start(
                    "sound",
                    () -> send("s" + own, "aaaa0001:500,bbbb" + own % 20 + ":300,cccc" + own + ":200", own % 2)));
            if (trouble && record.seconds() > nextCrashing) {
                nextCrashing += CRASHING_EVERY_SECONDS;
                clients.add(Threads.start(
                        "crashing",
                        () -> send(
                                "x" + own, "aaaa0001:500," + CRASHING_PART + ":300,dddd" + own + ":200", own / 2 % 2)));
            }
            Threads.sleep(SOUND_EVERY_SECONDS);
        }
        for (Thread client : clients) {
            client.join(5000);
        }
        return judge(beganAt);
    }

    private boolean judge(double beganAt) {
        double end = beganAt + SECONDS;
        record.result("sound requests, calm: " + shareBegun(beganAt, beganAt + CALM_SECONDS));
        if (crashes.size() < CRASHES_COUNTED) {
            record.result("crashes " + crashes.size() + ", requests with the part that reached workers "
                    + crashingRuns.size());
            return false;
        }
        double fifth = crashes.get(CRASHES_COUNTED - 1);
        long late = crashingRuns.stream().filter(run -> run > fifth + CONTACT_SECONDS).count();
        Share calm = shareBegun(beganAt, beganAt + CALM_SECONDS);
        Share troubled = shareBegun(fifth + 2 * CONTACT_SECONDS, end);
        long cut = answers.entrySet().stream()
                .filter(answer -> answer.getKey().startsWith("s") && answer.getValue() == Caller.NO_ANSWER)
                .filter(answer -> begun.containsKey(answer.getKey()))
                .count();
        record.result("crashes " + crashes.size() + ", the fifth after " + Math.round(fifth - beganAt)
                + " s; requests with the part that reached workers later than contactMs after it: " + late);
        record.result("sound requests from 2 x contactMs after it: " + troubled + "; sound streams cut off: " + cut);
        return late > CRASHING_ALLOWED
                && calm.count() >= MIN_SOUND
                && troubled.count() >= MIN_SOUND
                && troubled.begun() * calm.count() * 2 < calm.begun() * troubled.count();
    }

    /** How many requests were sent, and how many of them a worker began at their first attempt. */
    private record Share(long count, long begun) {}

    private Share shareBegun(double from, double to) {
        List<String> sent = sentAt.entrySet().stream()
                .filter(request -> request.getKey().startsWith("s"))
                .filter(request -> request.getValue() >= from && request.getValue() < to)
                .map(Map.Entry::getKey)
                .toList();
        return new Share(sent.size(), sent.stream().filter(begun::containsKey).count());
    }
}

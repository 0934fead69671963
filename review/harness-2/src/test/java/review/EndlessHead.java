package review;

import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Six of the ten workers of a service answer one request in twenty, for six seconds, with bytes that are no answer: lines of
 * a head that does not end until the caller closes. The other workers are sound all the while, and their answers count.
 */
final class EndlessHead {

    private static final int WORKERS = 10;
    private static final int FAULTY_WORKERS = 6;

    /** Each faulty worker spoils one answer in so many. */
    private static final int SPOILT_ONE_IN = 20;

    private static final long TROUBLE_FROM_MS = 4_000;
    private static final long TROUBLE_FOR_MS = 6_000;
    private static final long TRAFFIC_FOR_MS = 18_000;

    /** The requests a second of all clients of the site together. */
    private static final int REQUESTS_PER_SECOND = 388;

    /** The time until the first event, as an engine needs it to read a prompt. */
    private static final long FIRST_EVENT_AFTER_MS = 300;

    private static final int EVENTS = 20;
    private static final long EVENT_PAUSE_MS = 40;
    private static final int FIRST_BYTES = 120_000;
    private static final long LINE_PAUSE_MS = 10;

    /** The rule allows three. */
    private static final int ALLOWED = 3;

    private final Setup setup;
    private final long start = System.nanoTime();
    private final Map<String, String> runAt = new ConcurrentHashMap<>();

    /** The requests on kept channels whose channels were closed before the first byte of an answer. */
    private final Set<String> unanswered = ConcurrentHashMap.newKeySet();

    /** Those whose channels were closed in the middle of an answer. */
    private final Set<String> cut = ConcurrentHashMap.newKeySet();

    private final ConcurrentLinkedDeque<Client> idle = new ConcurrentLinkedDeque<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger endless = new AtomicInteger();
    private volatile long trafficStart = Long.MAX_VALUE;

    private EndlessHead(Setup setup) {
        this.setup = setup;
    }

    public static void main(String[] arguments) {
        System.exit(Setup.play(Path.of(arguments[0]), setup -> new EndlessHead(setup).run()));
    }

    private static long milliseconds() {
        return System.nanoTime() / 1_000_000;
    }

    private boolean run() throws Exception {
        setup.configure(
                Setup.route("question", "streaming", 12_000, 1_000, "model", 1, false), Setup.service("model"));
        List<Worker> workers = new ArrayList<>();
        for (int number = 1; number <= WORKERS; number++) {
            Worker worker = worker("i-" + number, number <= FAULTY_WORKERS && Setup.trouble());
            workers.add(worker);
            setup.store.put("servers", worker.id, worker.entry("model", 128));
        }
        setup.start(1);
        Gateway gateway = setup.gateways.get(0);
        ExecutorService clients = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(null, work, "client", 128 * 1024);
            thread.setDaemon(true);
            return thread;
        });
        trafficStart = milliseconds();
        int sent = 0;
        while (milliseconds() - trafficStart < TRAFFIC_FOR_MS && gateway.isAlive()) {
            long due = (milliseconds() - trafficStart) * REQUESTS_PER_SECOND / 1000;
            while (sent < due) {
                sent++;
                String id = "r-" + sent;
                clients.execute(() -> send(gateway.callers, id));
            }
            Thread.sleep(5);
        }
        boolean ended = gateway.awaitEnd(2);
        if (ended) {
            setup.record.add("gateway ended by itself, exit code " + gateway.exitCode() + ", last line: "
                    + gateway.logLines("Terminating"));
        }
        clients.shutdown();
        clients.awaitTermination(14, TimeUnit.SECONDS);
        long lost = unanswered.stream().filter(id -> isSound(runAt.get(id))).count();
        long lostMidway = cut.stream().filter(id -> isSound(runAt.get(id))).count();
        String result = "sent " + sent + ", answered whole " + whole + ", endless heads " + endless + ", other ends " + other
                + ", of kept channels with a request at a sound worker closed without an answer " + lost + " (allowed "
                + ALLOWED + "), in the middle of one " + lostMidway;
        setup.record.add(result);
        System.out.println(result + (ended ? "; gateway ended, exit code " + gateway.exitCode() : ""));
        for (Worker worker : workers) {
            worker.close();
        }
        return lost > ALLOWED;
    }

    private static boolean isSound(String worker) {
        return worker != null && Integer.parseInt(worker.substring(2)) > FAULTY_WORKERS;
    }

    private void send(int port, String id) {
        Client client = idle.pollFirst();
        boolean kept = client != null;
        boolean begun = false;
        try {
            if (!kept) {
                client = new Client(port);
            }
            client.send(Client.request("POST", "/question/q", id, 12_000, "body"));
            Message head = Message.readHead(client.input);
            if (head == null) {
                throw new EOFException("channel ended without an answer");
            }
            begun = true;
            if (head.status() != 200) {
                head.readBody(client.input);
                other.incrementAndGet();
                setup.record.add("answered " + id + ": " + head.firstLine());
            } else {
                readStream(client, id);
                whole.incrementAndGet();
            }
            idle.addFirst(client);
        } catch (IOException ended) {
            setup.record.add("answered " + id + ": " + (kept ? "kept" : "new") + " channel, run at " + runAt.get(id) + ", cut: "
                    + (begun ? " in the middle of the answer, " : " without an answer, ") + ended.getMessage());
            if (kept) {
                (begun ? cut : unanswered).add(id);
            }
        }
    }

    private static void readStream(Client client, String id) throws IOException {
        int events = 0;
        for (int size = Message.chunkSize(client.input); size > 0; size = Message.chunkSize(client.input)) {
            String text = new String(Message.exactly(client.input, size));
            events += (int) text.lines().filter(line -> line.startsWith("id:")).count();
            Message.readLine(client.input);
        }
        Message.readLine(client.input);
        if (events != EVENTS) {
            throw new EOFException(events + " events");
        }
    }

    private Worker worker(String id, boolean faulty) throws IOException {
        AtomicInteger answers = new AtomicInteger();
        return new Worker(id, (request, channel) -> {
            String name = request.field("x-request-id");
            runAt.put(name, id);
            long since = milliseconds() - trafficStart - TROUBLE_FROM_MS;
            if (faulty && since >= 0 && since < TROUBLE_FOR_MS && answers.incrementAndGet() % SPOILT_ONE_IN == 0) {
                endless.incrementAndGet();
                setup.record.add(id + " answers " + name + " with an endless head");
                writeEndlessHead(channel);
            }
            channel.write(Worker.head(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            Thread.sleep(FIRST_EVENT_AFTER_MS);
            for (int event = 1; event <= EVENTS; event++) {
                channel.write(Worker.chunk("id: " + event + "\ndata: word\n\n"));
                Thread.sleep(EVENT_PAUSE_MS);
            }
            channel.write("0\r\n\r\n");
            return true;
        });
    }

    /** Writes lines until the gateway closes the channel. */
    private static void writeEndlessHead(Worker.Channel channel) throws Exception {
        StringBuilder first = new StringBuilder("HTTP/1.1 200 OK\r\n");
        int line = 0;
        while (first.length() < FIRST_BYTES) {
            first.append(Integer.toString(line++, 36)).append(":b\r\n");
        }
        channel.write(first.toString());
        while (true) {
            channel.write(Integer.toString(line++, 36) + ":b\r\n");
            Thread.sleep(LINE_PAUSE_MS);
        }
    }
}

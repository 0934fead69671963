package review;

import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A worker fails an idempotent request with 500 and keeps the channel. While the gateway holds that request for another
 * try, the next request, a stream of another client, gets the same channel to the worker. Then the client of the failed
 * request leaves. Nothing may happen to the stream.
 */
final class ReusedChannel {

    private static final int ROUNDS = 7;
    private static final int EVENTS = 15;
    private static final long EVENT_PAUSE_MS = 50;

    /** The rule allows three answers that are cut. */
    private static final int ALLOWED = 3;

    private final Setup setup;
    private final boolean trouble = Setup.trouble();

    private ReusedChannel(Setup setup) {
        this.setup = setup;
    }

    public static void main(String[] arguments) {
        System.exit(Setup.play(Path.of(arguments[0]), setup -> new ReusedChannel(setup).run()));
    }

    private boolean run() throws Exception {
        try (Worker worker = new Worker("i-1", this::answer)) {
            setup.configure(
                    Setup.route("lookup", "idempotent", 8000, 2000, "desk", 2, false) + ","
                            + Setup.route("report", "streaming", 8000, 2000, "desk", 1, false),
                    Setup.service("desk"));
            setup.store.put("servers", worker.id, worker.entry("desk", 64));
            setup.start(1);
            int port = setup.gateways.get(0).callers;
            int cut = 0;
            for (int round = 1; round <= ROUNDS; round++) {
                cut += round(port, round) ? 0 : 1;
            }
            setup.record.add("streams " + ROUNDS + ", cut " + cut + ", allowed " + ALLOWED);
            System.out.println("streams " + ROUNDS + ", cut " + cut);
            return cut > ALLOWED;
        }
    }

    /** Returns whether the stream of the round arrived whole. */
    private boolean round(int port, int round) throws Exception {
        try (Client kept = new Client(port); Client leaving = new Client(port)) {
            for (int warm = 1; warm <= 2; warm++) {
                kept.send(Client.request("GET", "/lookup/fine", "warm-" + round + "-" + warm, 4000, ""));
                setup.record.add("client answered warm-" + round + "-" + warm + ": " + kept.answer().firstLine());
            }
            leaving.send(Client.request("GET", "/lookup/error", "failed-" + round, 4000, ""));
            Thread.sleep(60);
            CompletableFuture<Boolean> whole = new CompletableFuture<>();
            kept.send(Client.request("POST", "/report/r", "stream-" + round, 4000, "body"));
            Worker.daemon(() -> whole.complete(readsWhole(kept, "stream-" + round)));
            Thread.sleep(200);
            if (trouble) {
                leaving.close();
                setup.record.add("client of failed-" + round + " left");
                return whole.get(10, TimeUnit.SECONDS);
            }
            setup.record.add("client answered failed-" + round + ": " + leaving.answer().firstLine());
            return whole.get(10, TimeUnit.SECONDS);
        }
    }

    private boolean readsWhole(Client client, String id) {
        int events = 0;
        try {
            Message head = Message.readHead(client.input);
            if (head == null) {
                throw new EOFException("channel ended without a head");
            }
            for (int size = Message.chunkSize(client.input); size > 0; size = Message.chunkSize(client.input)) {
                String text = new String(Message.exactly(client.input, size));
                events += (int) text.lines().filter(line -> line.startsWith("id:")).count();
                Message.readLine(client.input);
            }
            Message.readLine(client.input);
            setup.record.add("client answered " + id + ": " + head.firstLine() + ", whole, " + events + " events");
            return events == EVENTS;
        } catch (IOException ended) {
            setup.record.add("client answered " + id + ": cut after " + events + " of " + EVENTS + " events: " + ended);
            return false;
        }
    }

    private boolean answer(Message request, Worker.Channel channel) throws Exception {
        String id = request.field("x-request-id");
        setup.record.add("worker runs " + id + " on channel " + channel.number);
        if (request.path().equals("/lookup/error")) {
            channel.write(Worker.head(request, 500, "Content-Length: 6\r\n") + "failed");
        } else if (request.path().startsWith("/lookup/")) {
            channel.write(Worker.head(request, 200, "Content-Length: 4\r\n") + "done");
        } else {
            stream(request, channel, id);
        }
        return true;
    }

    private void stream(Message request, Worker.Channel channel, String id) throws Exception {
        try {
            channel.write(Worker.head(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            for (int event = 1; event <= EVENTS; event++) {
                channel.write(Worker.chunk("id: " + event + "\ndata: word\n\n"));
                Thread.sleep(EVENT_PAUSE_MS);
            }
            channel.write("0\r\n\r\n");
            setup.record.add("worker has answered " + id);
        } catch (IOException closed) {
            setup.record.add("worker: the gateway closed channel " + channel.number + " during " + id);
            throw closed;
        }
    }
}

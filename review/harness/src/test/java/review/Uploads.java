package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A hot tenant sends request bodies of the allowed size while others book on kept channels. */
final class Uploads {

    private static final int BODY_BYTES = 4_194_304;
    private static final int USUAL_UPLOADS = 4;
    private static final double HOT_TENANT = 7.5;
    private static final int BYTES_PER_SECOND = 1_000_000;
    private static final int SPACING_MILLISECONDS = 100;
    private static final int BOOKING_CLIENTS = 16;

    public static void main(String[] arguments) throws Exception {
        Harness harness = new Harness(arguments[0]);
        Harness.Store store = harness.new Store();
        List<Harness.Worker> workers = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            Harness.Worker worker = harness.new Worker("i-" + number, (request, socket) -> {
                Harness.sleep(300);
                byte[] answer = Harness.ok(request, ("done " + request.body().length).getBytes());
                socket.getOutputStream().write(answer);
            });
            workers.add(worker);
            store.put("servers", worker.identifier, worker.entry("bokning", 6, "ready"));
        }
        store.put("op", "config", Harness.config(1,
                List.of(Harness.route("book", "non_idempotent", "bokning", 3000, 338, 2, false),
                        Harness.route("sheet", "idempotent", "bokning", 12000, 400, 2, false)),
                List.of("bokning"), List.of("crews", "office")));
        Harness.Gateway first = harness.new Gateway("a", store.server.port(), List.of());
        Harness.Gateway second = harness.new Gateway("b", store.server.port(), List.of(first.links));
        first.start();
        second.start();
        if (!first.awaitReady(20_000) || !second.awaitReady(20_000)) {
            harness.end(2, "a gateway did not become ready");
        }
        Harness.sleep(4000);

        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        Map<String, String> closed = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < BOOKING_CLIENTS; client++) {
            int number = client;
            clients.add(Harness.thread(() -> book(harness, first.callers, number, stop, answered, closed)));
        }
        Harness.sleep(2000);
        int uploads = (int) (harness.trouble ? USUAL_UPLOADS * HOT_TENANT : USUAL_UPLOADS);
        harness.note("the tenant office begins " + uploads + " uploads of " + BODY_BYTES + " bytes, each at " + BYTES_PER_SECOND + " bytes a second");
        AtomicInteger sheets = new AtomicInteger();
        for (int client = 0; client < uploads; client++) {
            int number = client;
            clients.add(Harness.thread(() -> upload(harness, first.callers, number, sheets)));
            Harness.sleep(SPACING_MILLISECONDS);
        }
        Harness.sleep(Math.max(0, 6500 - (long) uploads * SPACING_MILLISECONDS));
        stop.set(true);
        for (Thread client : clients) {
            client.join(15_000);
        }
        boolean ended = !first.process.isAlive();
        if (ended) {
            harness.note("gateway a ended by itself, exit code " + first.process.exitValue());
        }
        long passedOn = closed.keySet().stream()
                .filter(id -> workers.stream().anyMatch(worker -> worker.runs(id) > 0))
                .peek(id -> harness.note("ran, and its channel was closed without an answer: " + id))
                .count();
        java.nio.file.Files.readAllLines(first.log).stream()
                .filter(line -> line.contains("OutOfMemory") || line.contains("Terminating"))
                .limit(5)
                .forEach(line -> harness.note("log of gateway a: " + line));
        String figures = "bookings answered " + answered + ", channels closed without an answer " + closed.size()
                + ", of these passed on to a sound worker " + passedOn + ", sheets answered 200 " + sheets + " of " + uploads
                + ", gateway ended by itself: " + ended;
        if (answered.get() == 0) {
            harness.end(2, "no booking was answered; " + figures);
        }
        harness.end(passedOn > 3 ? 1 : 0, figures);
    }

    private static void book(Harness harness, int port, int client, AtomicBoolean stop, AtomicInteger answered, Map<String, String> closed) {
        int count = 0;
        try (Harness.Channel channel = new Harness.Channel(port, 5000)) {
            while (!stop.get()) {
                String id = "book-" + client + "-" + count++;
                try {
                    Harness.Answer answer = channel.exchange(Harness.head("POST", "/book/2f", id, 3000, "key-crews", 4), "trap".getBytes());
                    harness.note(id + " " + answer.status());
                    answered.incrementAndGet();
                    if (answer.header("connection").contains("close")) {
                        return;
                    }
                } catch (IOException ended) {
                    harness.note(id + " channel ended: " + ended);
                    closed.put(id, ended.toString());
                    return;
                }
            }
        } catch (IOException unreachable) {
            harness.note("client " + client + " cannot connect: " + unreachable);
        }
    }

    private static void upload(Harness harness, int port, int client, AtomicInteger sheets) {
        String id = "sheet-" + client;
        try (Harness.Channel channel = new Harness.Channel(port, 12_000)) {
            channel.send(Harness.head("POST", "/sheet/2f", id, 12_000, "key-office", BODY_BYTES), new byte[0]);
            long begun = Harness.millis();
            byte[] part = new byte[BYTES_PER_SECOND / 50];
            for (int sent = 0; sent < BODY_BYTES; sent += part.length) {
                channel.output.write(part, 0, Math.min(part.length, BODY_BYTES - sent));
                channel.output.flush();
                long due = begun + (long) sent * 1000 / BYTES_PER_SECOND;
                Harness.sleep(Math.max(0, due - Harness.millis()));
            }
            Harness.Answer answer = channel.read();
            harness.note(id + " " + answer.status() + " " + new String(answer.body()).trim());
            if (answer.status() == 200) {
                sheets.incrementAndGet();
            }
        } catch (IOException ended) {
            harness.note(id + " channel ended: " + ended);
        }
    }
}

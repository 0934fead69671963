package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker sends additional bytes after a part of its complete answers. */
final class ForeignAnswers {

    private static final int CLIENTS = 24;
    private static final double SPOILED_SHARE = 0.03;
    private static final long TROUBLE_MILLISECONDS = 5000;
    private static final long ADDITIONAL_AFTER_MILLISECONDS = 5;

    public static void main(String[] arguments) throws Exception {
        Harness harness = new Harness(arguments[0]);
        Harness.Store store = harness.new Store();
        AtomicBoolean garbling = new AtomicBoolean();
        AtomicInteger spoiled = new AtomicInteger();
        AtomicInteger worked = new AtomicInteger();
        byte[] additional = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        List<Harness.Worker> workers = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            boolean faulty = number == 0;
            Harness.Worker worker = harness.new Worker("i-" + number, (request, socket) -> {
                Harness.sleep(20);
                socket.getOutputStream().write(Harness.ok(request, "booked".getBytes()));
                socket.getOutputStream().flush();
                if (faulty && garbling.get() && worked.incrementAndGet() % Math.round(1 / SPOILED_SHARE) == 0) {
                    harness.note("spoiled after " + request.header("x-request-id"));
                    spoiled.incrementAndGet();
                    Harness.sleep(ADDITIONAL_AFTER_MILLISECONDS);
                    socket.getOutputStream().write(additional);
                    socket.getOutputStream().flush();
                }
            });
            workers.add(worker);
            store.put("servers", worker.identifier, worker.entry("bokning", 6, "ready"));
        }
        store.put("op", "config", Harness.config(1,
                List.of(Harness.route("book", "non_idempotent", "bokning", 3000, 338, 2, false)),
                List.of("bokning"), List.of("crews")));
        Harness.Gateway gateway = harness.new Gateway("a", store.server.port(), List.of());
        gateway.start();
        if (!gateway.awaitReady(20_000)) {
            harness.end(2, "the gateway did not become ready");
        }
        Harness.sleep(4000);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger good = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            clients.add(Harness.thread(() -> {
                int count = 0;
                while (!stop.get()) {
                    try (Harness.Channel channel = new Harness.Channel(gateway.callers, 5000)) {
                        while (!stop.get()) {
                            String id = "book-" + number + "-" + count++;
                            sent.incrementAndGet();
                            Harness.Answer answer = channel.exchange(Harness.head("POST", "/book/2f", id, 3000, "key-crews", 4), "trap".getBytes());
                            if (answer.status() == 200) {
                                good.incrementAndGet();
                            } else if (answer.status() >= 400 && answer.status() < 500) {
                                foreign.incrementAndGet();
                                Harness.sleep(100);
                                harness.note(id + " " + answer.status() + " " + answer.headers() + " runs=" + workers.stream().mapToInt(worker -> worker.runs(id)).sum());
                            } else {
                                other.incrementAndGet();
                                harness.note(id + " " + answer.status() + " " + new String(answer.body()).trim());
                            }
                        }
                    } catch (IOException ended) {
                        harness.note("client " + number + " channel ended: " + ended);
                    }
                }
            }));
        }
        Harness.sleep(2000);
        garbling.set(harness.trouble);
        Harness.sleep(TROUBLE_MILLISECONDS);
        garbling.set(false);
        Harness.sleep(1000);
        stop.set(true);
        for (Thread client : clients) {
            client.join(6000);
        }
        harness.end(foreign.get() > 5 + sent.get() / 500 ? 1 : 0,
                "requests " + sent + ", answers spoiled " + spoiled + ", requests answered 4xx that no worker gave them " + foreign
                        + ", answered 200 " + good + ", answered otherwise " + other);
    }
}

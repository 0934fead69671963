package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** The store performs a write of a worker late, when the worker has reported that it drains. */
final class LateBeat {

    private static final long BEAT = 1200;
    private static final long LATE = 6000;
    private static final long DRAINING_AFTER = 3300;
    private static final long DRAIN = 2000;
    private static final long LEAVES_AFTER = 5500;

    public static void main(String[] arguments) throws Exception {
        Harness harness = new Harness(arguments[0]);
        Harness.Store store = harness.new Store();
        List<Harness.Worker> workers = new ArrayList<>();
        AtomicBoolean left = new AtomicBoolean();
        for (int number = 0; number < 3; number++) {
            Harness.Worker worker = harness.new Worker("i-" + number, (request, socket) -> {
                Harness.sleep(20);
                socket.getOutputStream().write(Harness.ok(request, "booked".getBytes()));
            });
            workers.add(worker);
            beat(store, worker, 1, "ready");
        }
        store.put("op", "config", Harness.config(1,
                List.of(Harness.route("book", "non_idempotent", "bokning", 3000, 338, 2, false)), List.of("bokning"), List.of("crews")));
        Harness.Gateway first = harness.new Gateway("a", store.server.port(), List.of());
        Harness.Gateway second = harness.new Gateway("b", store.server.port(), List.of(first.links));
        first.start();
        second.start();
        if (!first.awaitReady(20_000) || !second.awaitReady(20_000)) {
            harness.end(2, "a gateway did not become ready");
        }
        for (int number = 1; number < 3; number++) {
            Harness.Worker sound = workers.get(number);
            Harness.thread(() -> {
                for (int seq = 2; true; seq++) {
                    beat(store, sound, seq, "ready");
                    Harness.sleep(BEAT);
                }
            });
        }
        Harness.sleep(4000);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (Harness.Gateway gateway : List.of(first, second)) {
            for (int client = 0; client < 4; client++) {
                String name = gateway.node + client;
                clients.add(Harness.thread(() -> book(harness, gateway.callers, name, stop, answered, sentAt)));
            }
        }
        Harness.sleep(1000);

        Harness.Worker leaving = workers.get(0);
        long begun = Harness.millis();
        int seq = 2;
        int late = seq++;
        if (harness.trouble) {
            harness.note("i-0 writes seq " + late + " ready; the store gives no answer, and performs it " + LATE + " ms later");
            Harness.thread(() -> {
                Harness.sleep(LATE);
                beat(store, leaving, late, "ready");
                harness.note("the store performs the write of seq " + late + " ready");
            });
        } else {
            beat(store, leaving, late, "ready");
        }
        long acked = 0;
        long next = begun;
        while (Harness.millis() < begun + DRAINING_AFTER + LEAVES_AFTER) {
            boolean draining = acked > 0;
            next = !draining && next + BEAT > begun + DRAINING_AFTER ? begun + DRAINING_AFTER : next + BEAT;
            Harness.sleep(Math.max(0, next - Harness.millis()));
            draining = next >= begun + DRAINING_AFTER;
            beat(store, leaving, seq, draining ? "draining" : "ready");
            harness.note("i-0 writes seq " + seq++ + (draining ? " draining" : " ready") + ", acknowledged");
            if (draining && acked == 0) {
                acked = Harness.millis();
            }
        }
        store.remove("servers", leaving.identifier);
        harness.note("i-0 has left");
        leaving.close();
        Harness.sleep(1000);
        stop.set(true);
        for (Thread client : clients) {
            client.join(5000);
        }
        long ack = acked;
        List<String> tooLate = sentAt.entrySet().stream()
                .filter(sent -> sent.getValue() > ack + DRAIN && leaving.runs(sent.getKey()) > 0)
                .sorted(Map.Entry.comparingByValue())
                .map(sent -> sent.getKey() + " sent " + (sent.getValue() - ack) + " ms after the ack that i-0 drains")
                .toList();
        tooLate.forEach(line -> harness.note("reached the leaving worker: " + line));
        long between = sentAt.entrySet().stream()
                .filter(sent -> sent.getValue() > ack + 1000 && sent.getValue() <= ack + DRAIN && leaving.runs(sent.getKey()) > 0)
                .count();
        String figures = "bookings answered 200: " + answered + ", run by i-0 1,000 to 2,000 ms after the ack " + between
                + ", run by i-0 later than drainMs after the ack " + tooLate.size();
        if (answered.get() == 0) {
            harness.end(2, "nothing was answered; " + figures);
        }
        harness.end(tooLate.isEmpty() ? 0 : 1, figures);
    }

    private static void beat(Harness.Store store, Harness.Worker worker, int seq, String state) {
        store.put("servers", worker.identifier, worker.entry("bokning", 6, state).replace("\"seq\":1", "\"seq\":" + seq + ",\"born\":1764990000000"));
    }

    private static void book(Harness harness, int port, String name, AtomicBoolean stop, AtomicInteger answered, Map<String, Long> sentAt) {
        int count = 0;
        while (!stop.get()) {
            try (Harness.Channel channel = new Harness.Channel(port, 5000)) {
                while (!stop.get()) {
                    String id = "book-" + name + "-" + count++;
                    sentAt.put(id, Harness.millis());
                    Harness.Answer answer = channel.exchange(Harness.head("POST", "/book/2f", id, 3000, "key-crews", 4), "trap".getBytes());
                    harness.note(id + " " + answer.status());
                    if (answer.status() == 200) {
                        answered.incrementAndGet();
                    }
                    Harness.sleep(20);
                }
            } catch (IOException ended) {
                harness.note("client " + name + " channel ended: " + ended);
            }
        }
    }
}

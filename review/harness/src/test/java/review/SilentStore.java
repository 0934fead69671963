package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** All open channels to the store go silent, and a config moves a route to another service. */
final class SilentStore {

    private static final long CONTACT = 3000;
    private static final long CONFIG_APPLY = 2000;
    private static final long ACK_AFTER_SILENCE = 500;

    public static void main(String[] arguments) throws Exception {
        Harness harness = new Harness(arguments[0]);
        Harness.Store store = harness.new Store();
        Harness.Proxy proxyOfFirst = harness.new Proxy(store.server.port());
        Harness.Proxy proxyOfSecond = harness.new Proxy(store.server.port());
        List<Harness.Worker> old = new ArrayList<>();
        List<Harness.Worker> next = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            Harness.Worker worker = harness.new Worker("i-" + number, (request, socket) -> {
                Harness.sleep(20);
                socket.getOutputStream().write(Harness.ok(request, "booked".getBytes()));
            });
            (number < 2 ? old : next).add(worker);
            store.put("servers", worker.identifier, worker.entry(number < 2 ? "bokning" : "bokning-next", 6, "ready"));
        }
        store.put("op", "config", config(1, "bokning"));
        Harness.Gateway first = harness.new Gateway("a", proxyOfFirst.port(), List.of());
        Harness.Gateway second = harness.new Gateway("b", proxyOfSecond.port(), List.of(first.links));
        first.start();
        second.start();
        if (!first.awaitReady(20_000) || !second.awaitReady(20_000)) {
            harness.end(2, "a gateway did not become ready");
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
        Harness.sleep(2000);
        awaitMoment(harness, proxyOfFirst);
        long silence = Harness.millis();
        harness.note(harness.trouble ? "open channels to the store that go silent: " + (proxyOfFirst.silence() + proxyOfSecond.silence()) : "no channel goes silent");
        Harness.sleep(ACK_AFTER_SILENCE);
        store.put("op", "config", config(2, "bokning-next"));
        long acked = Harness.millis();
        harness.note("the store acknowledged config 2, which moves the route to bokning-next");
        Harness.sleep(9000);
        stop.set(true);
        for (Thread client : clients) {
            client.join(5000);
        }
        long judged = Math.max(acked + CONFIG_APPLY, harness.trouble ? silence + CONTACT : 0);
        List<String> stale = sentAt.entrySet().stream()
                .filter(sent -> sent.getValue() > judged)
                .filter(sent -> old.stream().anyMatch(worker -> worker.runs(sent.getKey()) > 0))
                .sorted(Map.Entry.comparingByValue())
                .map(sent -> sent.getKey() + " sent " + (sent.getValue() - acked) + " ms after the ack")
                .toList();
        stale.forEach(line -> harness.note("run by the old service: " + line));
        long runByNext = sentAt.keySet().stream().filter(id -> next.stream().anyMatch(worker -> worker.runs(id) > 0)).count();
        String figures = "bookings answered 200: " + answered + ", run by the new service " + runByNext
                + ", sent later than configApplyMs after the ack, by machines in touch, and run by the old service: " + stale.size();
        if (runByNext == 0 || answered.get() == 0) {
            harness.end(2, "the new service ran nothing; " + figures);
        }
        harness.end(stale.isEmpty() ? 0 : 1, figures);
    }

    /**
     * Waits for a moment between two polls of the table of gateways, when the polls for the config and for the workers have
     * begun. Of the channels to the store one is idle then, which is the usual state. See claim.txt for other moments.
     */
    private static void awaitMoment(Harness harness, Harness.Proxy proxy) {
        long limit = Harness.millis() + 40_000;
        while (Harness.millis() < limit) {
            proxy.awaitCall("rows-feed?table=gateways", 10_000);
            for (int poll = 0; poll < 2; poll++) {
                proxy.awaitCall("rows-feed?table=op", 3000);
                if (proxy.awaitCall("rows-feed?table=servers", 600)) {
                    return;
                }
            }
        }
        harness.end(2, "the polls of the store did not come as expected");
    }

    private static String config(int version, String service) {
        return Harness.config(version, List.of(Harness.route("book", "non_idempotent", service, 3000, 338, 2, false)),
                List.of("bokning", "bokning-next"), List.of("crews"));
    }

    private static void book(Harness harness, int port, String name, AtomicBoolean stop, AtomicInteger answered, Map<String, Long> sentAt) {
        int count = 0;
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

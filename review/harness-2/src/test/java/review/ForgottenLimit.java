package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker names its Server-Limit in each of its answers. Its zone is evacuated for a minute and taken back. The worker still
 * names the limit in each answer, so it must not get more than that allows.
 */
final class ForgottenLimit {

    private static final double LIMIT = 0.5;

    /** The rule: one and a half times what the limit allows in 4 s, and 5 requests. */
    private static final long WINDOW_MS = 4_000;

    private static final double ALLOWED = 1.5 * LIMIT * WINDOW_MS / 1000 + 5;
    private static final long CONTACT_MS = 3_000;

    private static final long LIMIT_FROM_MS = 2_000;
    private static final long EVACUATED_AT_MS = 14_000;
    private static final long EVACUATED_FOR_MS = 60_000;
    private static final long END_MS = 84_000;
    private static final int REQUESTS_PER_SECOND = 300;
    private static final long WORK_MS = 300;
    private static final String LIMITED = "i-1";

    private final Setup setup;
    private final List<Long> arrivals = new ArrayList<>();
    private final ConcurrentLinkedDeque<Client> idle = new ConcurrentLinkedDeque<>();
    private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private volatile long start = Long.MAX_VALUE;
    private volatile long firstNamed = Long.MAX_VALUE;

    private ForgottenLimit(Setup setup) {
        this.setup = setup;
    }

    public static void main(String[] arguments) {
        System.exit(Setup.play(Path.of(arguments[0]), setup -> new ForgottenLimit(setup).run()));
    }

    private long now() {
        return System.nanoTime() / 1_000_000 - start;
    }

    private boolean run() throws Exception {
        setup.configure(Setup.route("desk", "non_idempotent", 4000, 1000, "desk", 1, false), Setup.service("desk"));
        List<Worker> workers = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            Worker worker = new Worker("i-" + number, this::answer);
            workers.add(worker);
            String zone = number <= 2 ? "z1" : "z2";
            setup.store.put("servers", worker.id, worker.entry("desk", 64).replace("\"z1\"", "\"" + zone + "\""));
        }
        setup.start(2);
        start = System.nanoTime() / 1_000_000;
        ExecutorService clients = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(null, work, "client", 128 * 1024);
            thread.setDaemon(true);
            return thread;
        });
        int sent = 0;
        boolean out = false;
        boolean back = false;
        while (now() < END_MS) {
            long due = now() * REQUESTS_PER_SECOND / 1000;
            while (sent < due) {
                int number = sent++;
                clients.execute(() -> send(number));
            }
            if (Setup.trouble() && !out && now() >= EVACUATED_AT_MS) {
                out = true;
                setup.store.put("op", "evacuate/z1", "{}");
                setup.record.add("operator evacuates z1");
            }
            if (out && !back && now() >= EVACUATED_AT_MS + EVACUATED_FOR_MS) {
                back = true;
                setup.store.remove("op", "evacuate/z1");
                setup.record.add("operator takes z1 back");
            }
            Thread.sleep(5);
        }
        clients.shutdown();
        clients.awaitTermination(6, TimeUnit.SECONDS);
        for (Worker worker : workers) {
            worker.close();
        }
        return judge(sent);
    }

    private boolean judge(int sent) {
        long most = 0;
        long mostAt = 0;
        synchronized (arrivals) {
            for (long from : arrivals) {
                long count = arrivals.stream().filter(at -> at >= from && at < from + WINDOW_MS).count();
                if (from >= firstNamed + CONTACT_MS && count > most) {
                    most = count;
                    mostAt = from;
                }
            }
        }
        String result = "sent " + sent + ", statuses " + statuses + ", most requests at " + LIMITED + " in 4 s: " + most + " from "
                + mostAt + " ms, allowed " + ALLOWED;
        setup.record.add(result);
        System.out.println(result);
        return most > ALLOWED;
    }

    private void send(int number) {
        Client client = idle.pollFirst();
        try {
            if (client == null) {
                client = new Client(setup.gateways.get(number % 2).callers);
            }
            client.send(Client.request("POST", "/desk/d", "r-" + number, 3000, "body"));
            Message answer = client.answer();
            if (answer != null) {
                statuses.computeIfAbsent(answer.status(), status -> new AtomicInteger()).incrementAndGet();
                idle.addFirst(client);
            }
        } catch (IOException ended) {
            setup.record.add("answered r-" + number + ": " + ended.getMessage());
        }
    }

    private boolean answer(Message request, Worker.Channel channel) throws Exception {
        boolean limited = request.field("x-expect-instance").equals(LIMITED);
        long at = now();
        if (limited) {
            synchronized (arrivals) {
                arrivals.add(at);
            }
            setup.record.add(LIMITED + " runs " + request.field("x-request-id"));
        }
        Thread.sleep(WORK_MS);
        boolean named = limited && at >= LIMIT_FROM_MS;
        if (named && firstNamed == Long.MAX_VALUE) {
            firstNamed = now();
            setup.record.add(LIMITED + " names its limit from now on: " + LIMIT);
        }
        channel.write(Worker.head(request, 200, (named ? "Server-Limit: " + LIMIT + "\r\n" : "") + "Content-Length: 4\r\n")
                + "done");
        return true;
    }
}

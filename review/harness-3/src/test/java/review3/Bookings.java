package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

/**
 * Clients that book on kept channels, at a worker that does nothing but its work. Counts the bookings that were passed on
 * to it, and whose channel ended without an answer.
 */
final class Bookings {

    static final String SERVICE = "desk";
    static final String PREFIX = "/desk/";

    private static final double WORK_SECONDS = 0.4;
    private static final byte[] BODY = new byte[600];

    private final Record record;
    private final Set<String> begun = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    Bookings(Record record) {
        this.record = record;
    }

    boolean answer(Worker worker, Http.Head head, InputStream input, OutputStream output) throws IOException {
        Http.readBody(input, head);
        begun.add(head.field("x-request-id"));
        Threads.sleep(WORK_SECONDS);
        Worker.send(output, 200, head, "Keep-Alive: timeout=60\r\n", "booked");
        return true;
    }

    List<Thread> start(Gateway gateway, int clients) {
        return IntStream.range(0, clients)
                .mapToObj(client -> Threads.start("booking", () -> book(gateway, client)))
                .toList();
    }

    private void book(Gateway gateway, int client) {
        try (Caller caller = new Caller(gateway.callers())) {
            for (int number = 0; !stopped && gateway.isAlive(); number++) {
                String request = "b" + client + "-" + number;
                Caller.Answer answer = caller.send(
                        "POST",
                        PREFIX + "book",
                        "X-Request-Id: " + request + "\r\nX-Request-Deadline: 3000\r\n",
                        BODY);
                answers.put(request, answer.status());
                if (answer.status() != 200) {
                    record.add("booking " + request + " answered " + answer.status()
                            + (begun.contains(request) ? ", the worker had begun it" : ", not begun")
                            + (number > 0 ? ", kept channel" : ", new channel"));
                }
            }
        }
    }

    void stop() {
        stopped = true;
    }

    /** Returns how many bookings on kept channels were passed on to the worker and got no answer. */
    long passedOnWithoutAnswer() {
        return answers.entrySet().stream()
                .filter(answer -> answer.getValue() == Caller.NO_ANSWER && begun.contains(answer.getKey()))
                .filter(answer -> !answer.getKey().endsWith("-0"))
                .count();
    }

    long booked() {
        return answers.values().stream().filter(status -> status == 200).count();
    }
}

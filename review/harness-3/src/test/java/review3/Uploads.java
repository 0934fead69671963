package review3;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** Clients that upload bodies within the limits of the config, on kept channels. Counts the answers by status. */
final class Uploads {

    static final String SERVICE = "intake";
    static final String PREFIX = "/intake/";

    private final byte[] body;
    private final double perSecond;
    private final Record record;
    private final Map<Integer, Integer> answers = new TreeMap<>();
    private volatile boolean stopped;

    Uploads(int bodyBytes, double perSecond, Record record) {
        this.body = new byte[bodyBytes];
        this.perSecond = perSecond;
        this.record = record;
    }

    void start(Gateway gateway, int clients) {
        IntStream.range(0, clients)
                .forEach(client -> Threads.start("upload", () -> upload(gateway, client, clients / perSecond)));
    }

    private void upload(Gateway gateway, int client, double pauseSeconds) {
        Threads.sleep(client * pauseSeconds / 10);
        try (Caller caller = new Caller(gateway.callers())) {
            for (int number = 0; !stopped && gateway.isAlive(); number++) {
                double began = record.seconds();
                String request = "u" + client + "-" + number;
                int status = caller.send(
                                "POST",
                                PREFIX + "sheet",
                                "X-Request-Id: " + request + "\r\nX-Request-Deadline: 5000\r\n",
                                body)
                        .status();
                count(status);
                if (status != 200) {
                    record.add("upload " + request + " answered " + status);
                }
                Threads.sleep(pauseSeconds - (record.seconds() - began));
            }
        }
    }

    private synchronized void count(int status) {
        answers.merge(status, 1, Integer::sum);
    }

    void stop() {
        stopped = true;
    }

    /** Returns the number of answers by status. */
    synchronized String summary() {
        return answers.toString();
    }
}

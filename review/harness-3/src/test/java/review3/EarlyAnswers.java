package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;

/**
 * One of the two workers of a service answers a few long requests before it has read their bodies, keeps the channels and
 * reads on later.
 */
final class EarlyAnswers extends Scenario {

    private static final int BODY_BYTES = 4_000_000;
    private static final double UPLOADS_PER_SECOND = 20;
    private static final int UPLOADING_CLIENTS = 8;
    private static final int BOOKING_CLIENTS = 12;
    private static final double SECONDS = 95;

    /** A disruption of 5 s, again and again. */
    private static final double TROUBLE_SECONDS = 5;

    private static final double TROUBLE_EVERY_SECONDS = 5.5;

    /** One in 20 answers of the worker, x = 0.05. */
    private static final int ANSWERS_PER_REJECTION = 20;

    /** When the worker reads on, within the time for which it says that it keeps the channel. */
    private static final double READS_ON_AFTER_SECONDS = 70;

    private static final String KEEP_ALIVE = "Keep-Alive: timeout=75\r\n";
    private static final int LOST_ALLOWED = 3;

    private Bookings bookings;
    private Uploads uploads;
    private int answers;
    private int rejections;
    private double beganAt = Double.MAX_VALUE;

    public static void main(String[] arguments) {
        new EarlyAnswers().run(arguments);
    }

    @Override
    List<String> zones() {
        return List.of("almaty-a");
    }

    @Override
    void prepare() throws Exception {
        bookings = new Bookings(record);
        uploads = new Uploads(BODY_BYTES, UPLOADS_PER_SECOND, record);
        store.put(
                "op",
                "config",
                new Config()
                        .service(Uploads.SERVICE)
                        .service(Bookings.SERVICE)
                        .route(Uploads.PREFIX, "non_idempotent", Uploads.SERVICE, 1, 5000, false)
                        .route(Bookings.PREFIX, "non_idempotent", Bookings.SERVICE, 1, 5000, false)
                        .toJson(1));
        new Worker("intake-1", Uploads.SERVICE, "almaty-a", 8, store, this::faulty);
        new Worker("intake-2", Uploads.SERVICE, "almaty-a", 8, store, EarlyAnswers::sound);
        new Worker("desk-1", Bookings.SERVICE, "almaty-a", 32, store, bookings::answer);
    }

    private static boolean sound(Worker worker, Http.Head head, InputStream input, OutputStream output)
            throws IOException {
        Http.readBody(input, head);
        Worker.send(output, 200, head, KEEP_ALIVE, "read");
        return true;
    }

    private boolean faulty(Worker worker, Http.Head head, InputStream input, OutputStream output) throws IOException {
        if (!isRejected()) {
            return sound(worker, head, input, output);
        }
        if (trouble) {
            record.add("worker answers " + head.field("x-request-id") + " before it has read the body");
            Worker.send(output, 413, head, KEEP_ALIVE, "too long");
            Threads.sleep(READS_ON_AFTER_SECONDS);
            Http.readBody(input, head);
            record.add("worker has read the rest of " + head.field("x-request-id"));
        } else {
            Http.readBody(input, head);
            Worker.send(output, 413, head, KEEP_ALIVE, "too long");
        }
        return true;
    }

    private synchronized boolean isRejected() {
        double seconds = record.seconds() - beganAt;
        if (seconds < 0 || seconds % TROUBLE_EVERY_SECONDS > TROUBLE_SECONDS) {
            return false;
        }
        answers++;
        boolean rejected = answers % ANSWERS_PER_REJECTION == 0;
        rejections += rejected ? 1 : 0;
        return rejected;
    }

    @Override
    boolean play() throws Exception {
        Gateway gateway = gateways.get(0);
        beganAt = record.seconds();
        List<Thread> booking = bookings.start(gateway, BOOKING_CLIENTS);
        uploads.start(gateway, UPLOADING_CLIENTS);
        while (gateway.isAlive() && record.seconds() - beganAt < SECONDS) {
            Threads.sleep(0.1);
        }
        boolean ended = !gateway.isAlive();
        if (ended) {
            record.result("the gateway ended by itself with exit code " + gateway.exitCode() + " after "
                    + Math.round(record.seconds() - beganAt) + " s");
            gateway.lastLogLines(2).forEach(line -> record.add("its log: " + line));
        }
        uploads.stop();
        bookings.stop();
        for (Thread client : booking) {
            client.join(5000);
        }
        long lost = bookings.passedOnWithoutAnswer();
        record.result("uploads by status " + uploads.summary() + ", answered early " + rejections + ", bookings "
                + bookings.booked() + ", begun on kept channels and never answered " + lost);
        return ended && lost > LOST_ALLOWED;
    }
}

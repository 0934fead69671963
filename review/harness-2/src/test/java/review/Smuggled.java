package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A client sends a body in chunks whose second size is no number, and then text that reads like another request. The body
 * has no end that anybody can find, so the request can only be refused; the text in it is no request.
 */
final class Smuggled {

    private static final int REQUESTS = 10;
    private static final String OUTER_BODY = "hello";

    private final Setup setup;
    private final List<String> run = new CopyOnWriteArrayList<>();

    private Smuggled(Setup setup) {
        this.setup = setup;
    }

    public static void main(String[] arguments) {
        System.exit(Setup.play(Path.of(arguments[0]), setup -> new Smuggled(setup).run()));
    }

    private boolean run() throws Exception {
        try (Worker worker = new Worker("i-1", this::answer)) {
            setup.configure(Setup.route("book", "non_idempotent", 3000, 500, "desk", 1, false), Setup.service("desk"));
            setup.store.put("servers", worker.id, worker.entry("desk", 64));
            setup.start(1);
            for (int number = 1; number <= REQUESTS; number++) {
                send(setup.gateways.get(0).callers, number);
            }
            long smuggled = run.stream().filter(id -> id.startsWith("inside")).count();
            long cut = run.stream().filter(id -> id.startsWith("outer")).count();
            setup.record.add("smuggled requests that ran: " + smuggled + " of " + REQUESTS + "; requests that ran with a part of "
                    + "their body: " + cut);
            System.out.println("smuggled requests that ran: " + smuggled + " of " + REQUESTS
                    + "; requests that ran with a part of their body: " + cut);
            return smuggled + cut > 0;
        }
    }

    private void send(int port, int number) throws Exception {
        String inside = Client.request("POST", "/book/inside", "inside-" + number, 2000, "booked");
        String chunks = Worker.chunk(OUTER_BODY)
                + (Setup.trouble() ? "zz\r\n\r\n" + inside : Worker.chunk(inside) + "0\r\n\r\n");
        String head = "POST /book/outer HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: outer-" + number
                + "\r\nX-Request-Deadline: 2000\r\nApi-Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n";
        try (Client client = new Client(port)) {
            client.socket.setSoTimeout(500);
            client.send(head + chunks);
            setup.record.add("client sent outer-" + number + " with inside-" + number + " in its body");
            try {
                for (Message answer = client.answer(); answer != null; answer = client.answer()) {
                    setup.record.add("client answered " + answer.field("x-request-id") + ": " + answer.firstLine());
                }
            } catch (IOException noMore) {
                setup.record.add("client answered nothing more: " + noMore.getMessage());
            }
        }
    }

    private boolean answer(Message request, Worker.Channel channel) throws IOException {
        String id = request.field("x-request-id");
        setup.record.add("worker runs " + id + ": " + request.firstLine() + ", body of " + request.body().length + " bytes");
        boolean whole = id.startsWith("outer")
                && new String(request.body(), StandardCharsets.ISO_8859_1).endsWith("booked");
        if (!whole) {
            run.add(id);
        }
        channel.write(Worker.head(request, 200, "Content-Length: 4\r\n") + "done");
        return true;
    }
}

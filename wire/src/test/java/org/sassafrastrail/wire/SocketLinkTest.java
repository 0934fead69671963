package org.sassafrastrail.wire;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.RulesRequest;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/** Verifies that invalid input on a link closes only that link and counts the reason, and that further links are accepted. */
class SocketLinkTest {

    private static final int EPHEMERAL_PORT = 0;
    private static final long TIMEOUT_SECONDS = 10;
    private static final Duration READ_TIMEOUT = Duration.ofMillis(500);

    private final MessagePackCodec codec = new MessagePackCodec();
    private final MetricRegistry registry = new MetricRegistry();
    private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    private final AtomicBoolean failing = new AtomicBoolean();
    private int port;
    private LinkServer server;

    @BeforeEach
    void startServer() throws IOException {
        try (ServerSocket free = new ServerSocket(EPHEMERAL_PORT)) {
            port = free.getLocalPort();
        }
        LinkSettings settings = new LinkSettings(
                () -> hello(Hello.PROTOCOL_VERSION, "key"),
                codec,
                new ReceivedMessages(),
                new Metrics(registry),
                new EventLog("test"),
                Duration.ofSeconds(2),
                READ_TIMEOUT);
        server = new LinkServer("127.0.0.1", port, settings);
        server.start();
    }

    @AfterEach
    void stopServer() {
        server.stop();
    }

    private static Hello hello(int protocolVersion, String linkKey) {
        return new Hello(protocolVersion, linkKey, new NodeName("peer"), new Incarnation(1), Optional.empty());
    }

    private void assertClosedWith(LinkCloseReason reason, PeerInput input) throws IOException, InterruptedException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            input.write(new DataOutputStream(socket.getOutputStream()));
            if (reason != LinkCloseReason.FRAME_CUT) {
                socket.getInputStream().readAllBytes();
            }
        }
        String name = "link-closures." + reason.name().toLowerCase(Locale.ROOT);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (registry.counter(name).getCount() == 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(registry.counter(name).getCount())
                .as(registry.getCounters().toString())
                .isEqualTo(1);
        assertAcceptsNewLink();
    }

    private void assertAcceptsNewLink() throws IOException, InterruptedException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            Frames.write(output, codec.encode(hello(Hello.PROTOCOL_VERSION, "key")));
            Frames.write(output, codec.encode(new RulesRequest(Revision.NONE)));
            assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(new RulesRequest(Revision.NONE));
        }
    }

    @Test
    void frameOverSizeLimitClosesLink() throws Exception {
        assertClosedWith(LinkCloseReason.FRAME_TOO_LARGE, output -> output.writeInt(Frames.MAX_CONTENT_BYTES + 1));
    }

    @Test
    void truncatedFrameClosesLink() throws Exception {
        assertClosedWith(LinkCloseReason.FRAME_CUT, output -> {
            output.writeInt(100);
            output.write(new byte[10]);
        });
    }

    @Test
    void unknownMessageKindClosesLink() throws Exception {
        assertClosedWith(LinkCloseReason.UNKNOWN_KIND, output -> Frames.write(output, new byte[] {99}));
    }

    @Test
    void newerProtocolVersionClosesLink() throws Exception {
        assertClosedWith(
                LinkCloseReason.NEWER_PROTOCOL,
                output -> Frames.write(output, codec.encode(hello(Hello.PROTOCOL_VERSION + 1, "key"))));
    }

    @Test
    void wrongLinkKeyClosesLink() throws Exception {
        assertClosedWith(
                LinkCloseReason.WRONG_KEY,
                output -> Frames.write(output, codec.encode(hello(Hello.PROTOCOL_VERSION, "guess"))));
    }

    @Test
    void missingGreetingClosesLink() throws Exception {
        assertClosedWith(
                LinkCloseReason.NO_GREETING,
                output -> Frames.write(output, codec.encode(new RulesRequest(Revision.NONE))));
    }

    /** Guards against beliefs about a peer whose packets are lost while its connection stays open. */
    @Test
    void silentPeerClosesLink() throws Exception {
        assertClosedWith(
                LinkCloseReason.SILENT,
                output -> Frames.write(output, codec.encode(hello(Hello.PROTOCOL_VERSION, "key"))));
    }

    @Test
    void messageThatCannotBeProcessedClosesLink() throws Exception {
        failing.set(true);
        assertClosedWith(LinkCloseReason.NOT_PROCESSED, output -> {
            Frames.write(output, codec.encode(hello(Hello.PROTOCOL_VERSION, "key")));
            Frames.write(output, codec.encode(new RulesRequest(Revision.NONE)));
        });
    }

    /** The bytes that a peer sends. */
    private interface PeerInput {

        void write(DataOutputStream output) throws IOException;
    }

    /** Collects the received messages. */
    private final class ReceivedMessages implements LinkListener {

        @Override
        public void opened(Link link) {
            // Only messages are collected.
        }

        @Override
        public void received(Link link, Message message) {
            if (failing.getAndSet(false)) {
                throw new IllegalStateException("not processed");
            }
            received.add(message);
        }

        @Override
        public void closed(Link link, LinkCloseReason reason) {
            // The link counts the reason itself.
        }
    }
}

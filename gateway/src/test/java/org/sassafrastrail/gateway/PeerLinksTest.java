package org.sassafrastrail.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.gate.TableWatchers;
import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.wire.CachingCodec;
import org.sassafrastrail.wire.Link;
import org.sassafrastrail.wire.LinkCloseReason;
import org.sassafrastrail.wire.LinkListener;
import org.sassafrastrail.wire.LinkServer;
import org.sassafrastrail.wire.LinkSettings;
import org.sassafrastrail.wire.MessagePackCodec;

import static org.assertj.core.api.Assertions.assertThat;

class PeerLinksTest {

    private static final String OWN = "127.0.0.1:" + freePort();
    private static final String SEED = "127.0.0.3:1";
    private static final int PEER_PORT = freePort();
    private static final String LINKED = "127.0.0.2:" + PEER_PORT;
    private static final int ROUNDS = 50;

    private final EventLog log = new EventLog("test");
    private final PeerLinks links = new PeerLinks(
            new GatewaySettings(
                    "own",
                    null,
                    "127.0.0.1:1",
                    "127.0.0.1:1",
                    OWN,
                    List.of(SEED),
                    "127.0.0.1:1",
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    2.0,
                    null,
                    null,
                    "WARN"),
            new Incarnation(1),
            event -> {},
            () -> new TableWatchers("own", Set.of()),
            new Metrics(new MetricRegistry()),
            log);
    private final LinkServer peer = new LinkServer(
            "127.0.0.2",
            PEER_PORT,
            new LinkSettings(
                    () -> new Hello(
                            Hello.PROTOCOL_VERSION, "", new NodeName("linked"), new Incarnation(1), Optional.empty()),
                    new CachingCodec(new MessagePackCodec()),
                    new IgnoringListener(),
                    new Metrics(new MetricRegistry()),
                    log,
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(10)));

    @BeforeEach
    void start() {
        peer.start();
        links.start();
    }

    @AfterEach
    void stop() {
        links.stop();
        peer.stop();
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** A link that works is kept, because a registration may be missing though its gateway runs. */
    @Test
    void dialedGatewaysThatComeAndGoStayLevel() throws InterruptedException {
        links.connectTo(List.of(LINKED));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!links.isLinkedTo("linked") && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        for (int round = 0; round < ROUNDS; round++) {
            links.connectTo(List.of("127.0.0.4:" + (round + 1)));
        }
        assertThat(links.dialedAddresses()).containsExactlyInAnyOrder(SEED, LINKED, "127.0.0.4:" + ROUNDS);
    }

    /** Takes links and ignores what they carry. */
    private static final class IgnoringListener implements LinkListener {

        @Override
        public void opened(Link link) {
            // The other end is looked at.
        }

        @Override
        public void received(Link link, Message message) {
            // The other end is looked at.
        }

        @Override
        public void closed(Link link, LinkCloseReason reason) {
            // The other end is looked at.
        }
    }
}

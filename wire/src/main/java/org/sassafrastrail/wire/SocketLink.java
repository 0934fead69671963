package org.sassafrastrail.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.runtime.LogField;

/** A link over a socket, with one thread for reading and one for writing. */
final class SocketLink implements Link {

    private static final AtomicLong LAST_NUMBER = new AtomicLong();
    private static final int SEND_QUEUE_CAPACITY = 20_000;

    private final Socket socket;
    private final LinkSettings settings;
    private final long number = LAST_NUMBER.incrementAndGet();
    private final BlockingQueue<Message> sendQueue = new LinkedBlockingQueue<>(SEND_QUEUE_CAPACITY);
    private final AtomicReference<LinkCloseReason> closeReason = new AtomicReference<>();
    private volatile Hello peer;

    SocketLink(Socket socket, LinkSettings settings) {
        this.socket = socket;
        this.settings = settings;
    }

    @Override
    public Hello peer() {
        return peer;
    }

    @Override
    public String host() {
        return socket.getInetAddress().getHostAddress();
    }

    @Override
    public long number() {
        return number;
    }

    @Override
    public void send(Message message) {
        if (!sendQueue.offer(message)) {
            close(LinkCloseReason.QUEUE_FULL);
        }
    }

    @Override
    public void close() {
        close(LinkCloseReason.CLOSED_HERE);
    }

    /** Exchanges greetings and then reads messages on the calling thread until the link ends. */
    void run() {
        Thread writer = new Thread(this::writeMessages, Thread.currentThread().getName() + "-writer");
        writer.setDaemon(true);
        boolean opened = false;
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) settings.connectTimeout().toMillis());
            DataInputStream input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            sendQueue.add(settings.greeting().get());
            writer.start();
            peer = readGreeting(input);
            socket.setSoTimeout((int) settings.readTimeout().toMillis());
            opened = true;
            settings.listener().opened(this);
            readMessages(input);
        } catch (LinkException failure) {
            close(failure.reason());
        } catch (SocketTimeoutException silent) {
            close(opened ? LinkCloseReason.SILENT : LinkCloseReason.NO_GREETING);
        } catch (IOException broken) {
            close(LinkCloseReason.CLOSED_THERE);
        } catch (RuntimeException fault) {
            settings.log().error("link-message-fault", fault, LogField.of("link", number));
            close(LinkCloseReason.NOT_PROCESSED);
        } finally {
            close();
            writer.interrupt();
            reportClosed(opened);
        }
    }

    private Hello readGreeting(DataInputStream input) throws IOException, LinkException {
        Message message = readMessage(input);
        if (!(message instanceof Hello hello)) {
            throw new LinkException(LinkCloseReason.NO_GREETING);
        }
        if (hello.protocolVersion() > Hello.PROTOCOL_VERSION) {
            throw new LinkException(LinkCloseReason.NEWER_PROTOCOL);
        }
        if (!isSameKey(hello.linkKey(), settings.greeting().get().linkKey())) {
            throw new LinkException(LinkCloseReason.WRONG_KEY);
        }
        return hello;
    }

    private static boolean isSameKey(String received, String expected) {
        return MessageDigest.isEqual(
                String.valueOf(received).getBytes(StandardCharsets.UTF_8), expected.getBytes(StandardCharsets.UTF_8));
    }

    private void readMessages(DataInputStream input) throws IOException, LinkException {
        while (closeReason.get() == null) {
            settings.listener().received(this, readMessage(input));
        }
    }

    private Message readMessage(DataInputStream input) throws IOException, LinkException {
        byte[] content = Frames.read(input);
        settings.metrics().count("control-bytes-received", Frames.HEADER_BYTES + content.length);
        DecodeResult decoding = settings.codec().decode(content);
        if (decoding instanceof DecodeResult.Decoded decoded) {
            return decoded.message();
        }
        throw new LinkException(((DecodeResult.Rejected) decoding).reason());
    }

    private void writeMessages() {
        try {
            DataOutputStream output = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            while (closeReason.get() == null) {
                writeMessage(output, sendQueue.take());
            }
        } catch (IOException broken) {
            close(LinkCloseReason.CLOSED_THERE);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeMessage(DataOutputStream output, Message message) throws IOException {
        byte[] content = settings.codec().encode(message);
        Frames.write(output, content);
        settings.metrics().count("control-bytes-sent", Frames.HEADER_BYTES + content.length);
        if (sendQueue.isEmpty()) {
            output.flush();
        }
    }

    private void close(LinkCloseReason reason) {
        closeReason.compareAndSet(null, reason);
        try {
            socket.close();
        } catch (IOException alreadyBroken) {
            settings.log().debug("socket-close-failed", LogField.of("link", number));
        }
    }

    private void reportClosed(boolean opened) {
        LinkCloseReason reason = closeReason.get();
        settings.metrics().count("link-closures", reason);
        if (opened) {
            settings.listener().closed(this, reason);
        }
    }
}

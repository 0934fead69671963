package org.sassafrastrail.gateway;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.DefaultByteBufferPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.Metrics;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests when a listener accepts connections. */
@Timeout(30)
class CallerListenerTest {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int TIMEOUT_MILLISECONDS = 10_000;
    private static final int QUIET_MILLISECONDS = 300;

    private final int port = freePort();
    private final XnioWorker worker = worker();
    private final CallerListener listener = new CallerListener(
            "127.0.0.1:" + port,
            worker,
            new DefaultByteBufferPool(true, BUFFER_BYTES),
            exchange -> exchange.getResponseSender().send("here"),
            new Metrics(new MetricRegistry()),
            new EventLog("test"));

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static XnioWorker worker() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    @AfterEach
    void stop() {
        listener.stop();
        worker.shutdownNow();
    }

    private String readResponse(Socket caller, int timeoutMilliseconds) throws IOException {
        caller.setSoTimeout(timeoutMilliseconds);
        byte[] response = new byte[1024];
        return new String(response, 0, Math.max(0, caller.getInputStream().read(response)), StandardCharsets.UTF_8);
    }

    private Socket callerWithRequest() throws IOException {
        Socket caller = new Socket("127.0.0.1", port);
        caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: here\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return caller;
    }

    /** Guards against FAIR: a process that lagged before its listener started accepted all connections. */
    @Test
    void connectionWaitsWhileAcceptingIsDisabledBeforeStart() throws Exception {
        listener.setAccepting(false);
        listener.start();
        try (Socket caller = callerWithRequest()) {
            assertThatThrownBy(() -> readResponse(caller, QUIET_MILLISECONDS))
                    .isInstanceOf(SocketTimeoutException.class);
            listener.setAccepting(true);
            assertThat(readResponse(caller, TIMEOUT_MILLISECONDS)).contains("200 OK");
        }
    }

    @Test
    void acceptingStaysOffAfterStop() throws Exception {
        listener.start();
        listener.stop();
        listener.setAccepting(false);
        listener.setAccepting(true);
        assertThatThrownBy(this::callerWithRequest).isInstanceOf(IOException.class);
    }
}

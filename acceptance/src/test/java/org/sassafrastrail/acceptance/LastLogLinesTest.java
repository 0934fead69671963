package org.sassafrastrail.acceptance;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sassafrastrail.acceptance.process.ProgramProcess;
import org.sassafrastrail.standins.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/** The last lines that a gateway logs are written before its process ends, whichever way it ends by itself. */
class LastLogLinesTest {

    private static final int TERMINATED = 143;
    private static final int FAILED = 1;
    private static final int TIMEOUT_SECONDS = 20;

    @TempDir
    private Path folder;

    private ProgramProcess startGateway(int readinessPort) throws IOException {
        Path settings = folder.resolve("gateway.json");
        Files.writeString(
                settings,
                """
                {"node":"last","callers":"127.0.0.1:%d","readiness":"127.0.0.1:%d","links":"127.0.0.1:%d","seeds":[],
                 "store":"127.0.0.1:%d","graceSeconds":2.0,"logLevel":"INFO"}"""
                        .formatted(FreePorts.next(), readinessPort, FreePorts.next(), FreePorts.next()));
        return ProgramProcess.start(folder, "gateway", settings.toString());
    }

    @Test
    void linesOfPlannedStopAreWritten() throws Exception {
        ProgramProcess gateway = startGateway(FreePorts.next());
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!gateway.output().contains("event=started") && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        gateway.terminate();
        assertThat(gateway.exitCode()).isEqualTo(TERMINATED);
        List<String> lines = gateway.output().lines().toList();
        assertThat(lines.get(lines.size() - 1)).contains("event=stopped");
    }

    @Test
    void reasonOfFailedStartIsWritten() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ProgramProcess gateway = startGateway(taken.getLocalPort());
            assertThat(gateway.exitCode()).isEqualTo(FAILED);
            assertThat(gateway.output()).contains("event=start-failed");
        }
    }
}

package org.sassafrastrail.standins;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StandInsTest {

    private static final String HOST = "127.0.0.1";
    private static final long WEIGHT_BYTES_PER_SECOND = 200_000;

    private final HttpClient client = HttpClient.newHttpClient();
    private final int platformPort = freePort();
    private final int fencingPort = freePort();
    private final int nonFencingPort = freePort();
    private final StandIns standIns = new StandIns(
            new StandInSettings(
                    HOST,
                    List.of(new StandInSettings.PlatformSettings(platformPort, WEIGHT_BYTES_PER_SECOND, List.of())),
                    List.of(engine(fencingPort, true), engine(nonFencingPort, false)),
                    List.of(),
                    "WARN"),
            Clock.systemUTC());

    private static StandInSettings.EngineSettings engine(int port, boolean honoursFencing) {
        return new StandInSettings.EngineSettings(port, 1, 4, 1, 1, 0, honoursFencing);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    @BeforeEach
    void start() {
        standIns.start();
    }

    @AfterEach
    void stop() {
        standIns.stop();
    }

    private int sendOrder(int port, long token) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + "/orders"))
                .header("X-Fencing-Token", String.valueOf(token))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    @Test
    void staleFencingTokenIsRejectedOnlyIfEngineHonoursFencing() throws Exception {
        assertThat(sendOrder(fencingPort, 2)).isEqualTo(200);
        assertThat(sendOrder(fencingPort, 1)).isEqualTo(409);
        assertThat(sendOrder(nonFencingPort, 2)).isEqualTo(200);
        assertThat(sendOrder(nonFencingPort, 1)).isEqualTo(200);
    }

    @Test
    void weightStoreLimitsTransferRate() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + HOST + ":" + platformPort + "/weights/" + WEIGHT_BYTES_PER_SECOND / 2))
                .build();
        long started = System.nanoTime();
        byte[] weights =
                client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();

        assertThat(weights).hasSize((int) (WEIGHT_BYTES_PER_SECOND / 2));
        assertThat(System.nanoTime() - started).isGreaterThan(400_000_000);
    }
}

package org.sassafrastrail.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Finds free ports below the ephemeral port range, so that no outgoing connection takes a port before the program that
 * will listen on it has started.
 */
public final class FreePorts {

    private static final int FIRST = 24_000;
    private static final int LAST = 32_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 37 % (LAST - FIRST)));

    private FreePorts() {}

    /**
     * Returns a port of the loopback address that is free and was not returned before.
     *
     * @return the port
     */
    public static int next() {
        return IntStream.generate(() -> FIRST + NEXT.getAndIncrement() % (LAST - FIRST))
                .filter(FreePorts::isFree)
                .findFirst()
                .orElseThrow();
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}

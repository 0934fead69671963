package org.sassafrastrail.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;

/** Gives weights of a model, all readers together no faster than its rate. */
final class WeightStore {

    private static final int CHUNK_BYTES = 16 * 1024;
    private static final long NANOSECONDS = 1_000_000_000;

    private final long bytesPerSecond;
    private final CountDownLatch never = new CountDownLatch(1);
    private long nextChunkNanoseconds = System.nanoTime();

    WeightStore(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Sends as many bytes as the path says. */
    void send(HttpServerExchange exchange, String size) throws IOException, InterruptedException {
        OutputStream output = exchange.getOutputStream();
        long left = Long.parseLong(size);
        while (left > 0) {
            int count = (int) Math.min(CHUNK_BYTES, left);
            never.await(turn(count), TimeUnit.NANOSECONDS);
            output.write(new byte[count]);
            left -= count;
        }
        output.close();
        exchange.endExchange();
    }

    /** Takes a turn and tells how long to wait for it. */
    private synchronized long turn(int bytes) {
        long now = System.nanoTime();
        nextChunkNanoseconds = Math.max(nextChunkNanoseconds, now) + bytes * NANOSECONDS / bytesPerSecond;
        return nextChunkNanoseconds - now;
    }
}

package org.sassafrastrail.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;

/** Sends model weights at a limited transfer rate that all readers share. */
final class WeightStore {

    private static final int CHUNK_BYTES = 16 * 1024;
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;

    private final long bytesPerSecond;
    private final CountDownLatch neverReleased = new CountDownLatch(1);
    private long nextChunkNanoTime = System.nanoTime();

    WeightStore(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Sends the given number of bytes, throttled to the transfer rate. */
    void send(HttpServerExchange exchange, String size) throws IOException, InterruptedException {
        OutputStream output = exchange.getOutputStream();
        long remaining = Long.parseLong(size);
        while (remaining > 0) {
            int count = (int) Math.min(CHUNK_BYTES, remaining);
            neverReleased.await(reserveNextChunk(count), TimeUnit.NANOSECONDS);
            output.write(new byte[count]);
            remaining -= count;
        }
        output.close();
        exchange.endExchange();
    }

    /** Reserves the time to transfer the next chunk and returns how many nanoseconds to wait before sending it. */
    private synchronized long reserveNextChunk(int bytes) {
        long now = System.nanoTime();
        nextChunkNanoTime = Math.max(nextChunkNanoTime, now) + bytes * NANOSECONDS_PER_SECOND / bytesPerSecond;
        return nextChunkNanoTime - now;
    }
}

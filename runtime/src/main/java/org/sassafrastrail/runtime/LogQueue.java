package org.sassafrastrail.runtime;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A bounded queue of log lines between the threads that log and the one that writes. It never makes a logging thread
 * wait: a line for which there is no room is dropped and counted.
 */
final class LogQueue {

    private final int maxCharacters;
    private final int reservedCharacters;
    private final Duration gatheringTime;
    private List<String> lines = new ArrayList<>();
    private int characters;
    private boolean urgent;
    private long unreportedDrops;
    private long drops;
    private long accepted;
    private long written;

    /**
     * Creates an empty queue.
     *
     * @param maxCharacters the characters of all queued lines
     * @param reservedCharacters the characters beyond them that only urgent lines use
     * @param gatheringTime how long the writer lets lines gather, so that it doesn't wake up for each
     */
    LogQueue(int maxCharacters, int reservedCharacters, Duration gatheringTime) {
        this.maxCharacters = maxCharacters;
        this.reservedCharacters = reservedCharacters;
        this.gatheringTime = gatheringTime;
    }

    /**
     * Lines in the order in which they were logged.
     *
     * @param lines the lines
     * @param dropped how many lines were dropped after them
     */
    record Batch(List<String> lines, long dropped) {}

    /** Appends a line, or drops it where it has no room. An urgent line ends the gathering and may use the reserve. */
    synchronized void offer(String line, boolean urgentLine) {
        int limit = urgentLine ? maxCharacters + reservedCharacters : maxCharacters;
        if (characters + line.length() > limit) {
            addDrops(1);
            return;
        }
        boolean first = lines.isEmpty();
        lines.add(line);
        characters += line.length();
        accepted++;
        urgent |= urgentLine;
        if (first || urgentLine) {
            notifyAll();
        }
    }

    /** Waits for lines, and takes all of them. */
    synchronized Batch take() throws InterruptedException {
        while (lines.isEmpty()) {
            wait();
        }
        long end = System.nanoTime() + gatheringTime.toNanos();
        for (long left = gatheringTime.toMillis(); left > 0 && !urgent; left = millisecondsUntil(end)) {
            wait(left);
        }
        Batch batch = new Batch(lines, unreportedDrops);
        lines = new ArrayList<>();
        characters = 0;
        urgent = false;
        unreportedDrops = 0;
        return batch;
    }

    private static long millisecondsUntil(long end) {
        return Duration.ofNanos(end - System.nanoTime()).toMillis();
    }

    /** Notes that lines taken earlier have been written, or could not be. */
    synchronized void finished(int count, boolean successful) {
        written += count;
        if (!successful) {
            addDrops(count);
        }
        notifyAll();
    }

    private void addDrops(long count) {
        drops += count;
        unreportedDrops += count;
    }

    /** Returns how many lines were dropped since the start. */
    synchronized long drops() {
        return drops;
    }

    /** Waits until all lines that were queued before are written, for a bounded time. */
    synchronized void awaitWritten(Duration timeout) {
        long target = accepted;
        long end = System.nanoTime() + timeout.toNanos();
        urgent = true;
        notifyAll();
        try {
            for (long left = timeout.toMillis(); left > 0 && written < target; left = millisecondsUntil(end)) {
                wait(left);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}

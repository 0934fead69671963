package org.sassafrastrail.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

import org.jboss.logmanager.Level;

/**
 * Writes log lines on a thread of its own, so that an output that nobody reads doesn't stop the threads that log. What was
 * dropped is reported by a line as soon as lines are read again.
 */
final class QueuedLogHandler extends Handler {

    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(500);

    private final LogQueue queue;
    private final OutputStream output;

    private QueuedLogHandler(LogQueue queue, OutputStream output, Formatter formatter) {
        this.queue = queue;
        this.output = output;
        setFormatter(formatter);
        setLevel(Level.ALL);
    }

    /** Creates a handler and starts its thread, which lives as long as the process. */
    static QueuedLogHandler start(LogQueue queue, OutputStream output, Formatter formatter) {
        QueuedLogHandler handler = new QueuedLogHandler(queue, output, formatter);
        Thread writer = new Thread(handler::write, "log-writer");
        writer.setDaemon(true);
        writer.start();
        return handler;
    }

    @Override
    public void publish(LogRecord entry) {
        if (isLoggable(entry)) {
            boolean urgent = entry.getLevel().intValue() >= Level.WARN.intValue();
            queue.offer(getFormatter().format(entry), urgent);
        }
    }

    private void write() {
        try {
            while (true) {
                LogQueue.Batch batch = queue.take();
                queue.finished(batch.lines().size(), write(batch));
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the output took the lines; what it doesn't take counts as dropped. */
    private boolean write(LogQueue.Batch batch) {
        try {
            output.write(text(batch).getBytes(StandardCharsets.UTF_8));
            output.flush();
            return true;
        } catch (IOException closed) {
            return false;
        }
    }

    private String text(LogQueue.Batch batch) {
        String lines = String.join("", batch.lines());
        return batch.dropped() == 0 ? lines : lines + dropReport(batch.dropped());
    }

    private String dropReport(long dropped) {
        String event = LogLine.of("log-lines-dropped", LogField.of("count", dropped));
        return getFormatter().format(new LogRecord(Level.WARN, event));
    }

    /** Returns how many lines were dropped since the start. */
    long drops() {
        return queue.drops();
    }

    /** Waits until what was logged before is written, for half a second at most. */
    @Override
    public void flush() {
        queue.awaitWritten(FLUSH_TIMEOUT);
    }

    /** Flushes only: the last lines of a process are logged while it shuts down. */
    @Override
    public void close() {
        flush();
    }
}

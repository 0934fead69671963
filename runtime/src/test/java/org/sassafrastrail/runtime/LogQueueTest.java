package org.sassafrastrail.runtime;

import java.io.IOException;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(10)
class LogQueueTest {

    private static final int ROOM = 20;
    private static final int RESERVE = 10;
    private static final Pattern DROPPED_LINES = Pattern.compile("event=log-lines-dropped count=([0-9]+)\n");

    private final LogQueue queue = new LogQueue(ROOM, RESERVE, Duration.ofMillis(1));

    @Test
    void linesBeyondTheRoomAreDroppedAndCounted() throws InterruptedException {
        IntStream.range(0, 5).forEach(number -> queue.offer("number " + number, false));
        assertThat(queue.take()).isEqualTo(new LogQueue.Batch(List.of("number 0", "number 1"), 3));
        queue.offer("later", false);
        assertThat(queue.take()).isEqualTo(new LogQueue.Batch(List.of("later"), 0));
        assertThat(queue.drops()).isEqualTo(3);
    }

    @Test
    void urgentLineHasRoomInFullQueue() throws InterruptedException {
        queue.offer("x".repeat(ROOM), false);
        queue.offer("fatal", true);
        assertThat(queue.take().lines()).endsWith("fatal");
    }

    @Test
    void linesThatCouldNotBeWrittenCountAsDroppedWithTheNextOnes() throws InterruptedException {
        queue.offer("lost", false);
        queue.finished(queue.take().lines().size(), false);
        queue.offer("later", false);
        assertThat(queue.take()).isEqualTo(new LogQueue.Batch(List.of("later"), 1));
    }

    @Test
    void waitForTheWriterIsBounded() {
        queue.offer("unwritten", false);
        queue.awaitWritten(Duration.ofMillis(20));
        assertThat(queue.drops()).isZero();
    }

    /** An output that nobody reads at first: all threads go on, and lines later say what is missing. */
    @Test
    void linesSayHowManyWereDropped() throws IOException {
        PipedOutputStream output = new PipedOutputStream();
        PipedInputStream reader = new PipedInputStream(output, 1);
        QueuedLogHandler handler = QueuedLogHandler.start(queue, output, new MessageFormatter());
        IntStream.range(0, 100).forEach(number -> handler.publish(new LogRecord(Level.INFO, "line")));
        assertThat(handler.drops()).isPositive();
        StringBuilder read = new StringBuilder();
        while (reportedDrops(read.toString()) < handler.drops()) {
            read.append((char) reader.read());
        }
        assertThat(reportedDrops(read.toString())).isEqualTo(handler.drops());
        assertThat(read.toString().lines().filter(line -> line.equals("line"))).hasSize((int) (100 - handler.drops()));
    }

    /** Adds up what complete lines say; there are two if the writer took lines while others were being dropped. */
    private static long reportedDrops(String output) {
        return DROPPED_LINES
                .matcher(output)
                .results()
                .mapToLong(line -> Long.parseLong(line.group(1)))
                .sum();
    }

    /** Formats a record as its message alone. */
    private static final class MessageFormatter extends Formatter {

        @Override
        public String format(LogRecord entry) {
            return entry.getMessage() + "\n";
        }
    }
}

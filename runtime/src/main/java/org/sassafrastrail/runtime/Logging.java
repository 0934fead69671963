package org.sassafrastrail.runtime;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Configures the log manager to write one line per event to standard error, without making a thread that logs wait. */
public final class Logging {

    private static final Logger ROOT = Logger.getLogger("");
    private static final Logger PROJECT = Logger.getLogger("org.sassafrastrail");

    /** A few seconds of a busy gateway. */
    private static final int MAX_QUEUED_CHARACTERS = 1 << 20;

    private static final int RESERVED_FOR_WARNINGS = 1 << 16;
    private static final Duration GATHERING_TIME = Duration.ofMillis(20);

    private Logging() {}

    /** The handler of the process, whose thread starts with the first configuration. */
    private static final class Output {

        private static final QueuedLogHandler HANDLER = start();

        private static QueuedLogHandler start() {
            Runtime.getRuntime().addShutdownHook(new Thread(Logging::flush, "log-flush"));
            return QueuedLogHandler.start(
                    new LogQueue(MAX_QUEUED_CHARACTERS, RESERVED_FOR_WARNINGS, GATHERING_TIME),
                    new FileOutputStream(FileDescriptor.err),
                    new EventLineFormatter());
        }
    }

    /**
     * Replaces all log handlers by one for standard error and sets the log level. Other libraries log from the level
     * {@code WARNING} on.
     *
     * @param level the log level of the project's own loggers, such as {@code INFO}
     */
    public static void configure(String level) {
        Arrays.stream(ROOT.getHandlers()).forEach(ROOT::removeHandler);
        ROOT.addHandler(Output.HANDLER);
        ROOT.setLevel(Level.WARNING);
        PROJECT.setLevel(Level.parse(level));
    }

    /**
     * Waits until what was logged before is written, for half a second at most. Whoever halts the process, or logs in a
     * shutdown hook, calls it last.
     */
    public static void flush() {
        Output.HANDLER.flush();
    }

    /**
     * Returns how many lines had no room, because standard error wasn't read.
     *
     * @return the number of lines since the start
     */
    public static long droppedLines() {
        return Output.HANDLER.drops();
    }

    /** Formats a log record as a line with the time, the level and the event. */
    private static final class EventLineFormatter extends Formatter {

        @Override
        public String format(LogRecord entry) {
            String text =
                    "time=" + entry.getInstant() + " level=" + entry.getLevel() + " " + formatMessage(entry) + "\n";
            return entry.getThrown() == null
                    ? text
                    : text + "cause=" + LogLine.quote(entry.getThrown().toString()) + "\n";
        }
    }
}

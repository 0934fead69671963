package org.sassafrastrail.runtime;

import java.util.Arrays;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Configures the log manager to write one line per event to standard error. */
public final class Logging {

    private static final Logger ROOT = Logger.getLogger("");
    private static final Logger PROJECT = Logger.getLogger("org.sassafrastrail");

    private Logging() {}

    /**
     * Replaces all log handlers by one for standard error and sets the log level. Other libraries log from the level
     * {@code WARNING} on.
     *
     * @param level the log level of the project's own loggers, such as {@code INFO}
     */
    public static void configure(String level) {
        Arrays.stream(ROOT.getHandlers()).forEach(ROOT::removeHandler);
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new EventLineFormatter());
        handler.setLevel(Level.ALL);
        ROOT.addHandler(handler);
        ROOT.setLevel(Level.WARNING);
        PROJECT.setLevel(Level.parse(level));
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

package org.sassafrastrail.runtime;

import org.jboss.logging.Logger;

/** The log of a daemon: one line of key=value pairs for each event. */
public final class EventLog {

    private final Logger logger;

    /**
     * Makes the log of one category.
     *
     * @param category the category, for levels
     */
    public EventLog(String category) {
        this.logger = Logger.getLogger(category);
    }

    /**
     * Logs an event that operators see every day.
     *
     * @param event the name of the event
     * @param fields its fields
     */
    public void info(String event, LogField... fields) {
        if (logger.isInfoEnabled()) {
            logger.info(LogLine.of(event, fields));
        }
    }

    /**
     * Logs an event that helps to find faults.
     *
     * @param event the name of the event
     * @param fields its fields
     */
    public void debug(String event, LogField... fields) {
        if (logger.isDebugEnabled()) {
            logger.debug(LogLine.of(event, fields));
        }
    }

    /**
     * Logs an event that operators should look at.
     *
     * @param event the name of the event
     * @param fields its fields
     */
    public void warn(String event, LogField... fields) {
        logger.warn(LogLine.of(event, fields));
    }

    /**
     * Logs a fault of the program.
     *
     * @param event the name of the event
     * @param cause the fault
     * @param fields its fields
     */
    public void error(String event, Throwable cause, LogField... fields) {
        logger.error(LogLine.of(event, fields), cause);
    }
}

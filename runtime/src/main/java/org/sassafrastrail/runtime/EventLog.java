package org.sassafrastrail.runtime;

import org.jboss.logging.Logger;

/** A structured logger that writes one line of key=value pairs per event. */
public final class EventLog {

    private final Logger logger;

    /**
     * Creates the log of a category.
     *
     * @param category the logger category, by which levels are configured
     */
    public EventLog(String category) {
        this.logger = Logger.getLogger(category);
    }

    /**
     * Logs an event of normal operation.
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
     * Logs an event that is only useful for debugging.
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
     * Logs an event that may need an operator's attention.
     *
     * @param event the name of the event
     * @param fields its fields
     */
    public void warn(String event, LogField... fields) {
        logger.warn(LogLine.of(event, fields));
    }

    /**
     * Logs an error with its cause.
     *
     * @param event the name of the event
     * @param cause the exception
     * @param fields its fields
     */
    public void error(String event, Throwable cause, LogField... fields) {
        logger.error(LogLine.of(event, fields), cause);
    }
}

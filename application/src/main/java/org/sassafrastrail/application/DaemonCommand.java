package org.sassafrastrail.application;

import java.time.Clock;
import java.util.function.BiFunction;
import java.util.function.Function;

import org.sassafrastrail.runtime.Service;

/**
 * A command that starts a daemon, which runs until the process is stopped.
 *
 * @param word the command word
 * @param settings the settings class
 * @param logLevel reads the log level from the settings
 * @param exposure reads the listen address and the link key from the settings
 * @param factory creates the daemon
 * @param <T> the type of the settings
 */
record DaemonCommand<T>(
        String word,
        Class<T> settings,
        Function<T, String> logLevel,
        Function<T, Exposure> exposure,
        BiFunction<T, Clock, Service> factory) {

    /** The host on which a daemon listens for links, and the link key that its peers need. */
    record Exposure(String host, String linkKey) {

        /** Returns the exposure of a gateway, which is exempt from the check: its settings have no link key. */
        static Exposure withoutLinkKey() {
            return new Exposure("127.0.0.1", "");
        }

        /** Returns whether there is a link key or the daemon listens on a loopback address only. */
        boolean isSafe() {
            return !linkKey.isEmpty() || host.startsWith("127.") || host.equals("::1");
        }
    }
}

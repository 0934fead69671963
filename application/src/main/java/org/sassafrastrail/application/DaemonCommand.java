package org.sassafrastrail.application;

import java.time.Clock;
import java.util.function.BiFunction;
import java.util.function.Function;

import org.sassafrastrail.runtime.Service;

/**
 * A program that runs until it is told to stop.
 *
 * @param word the word that names it
 * @param settings the type of its settings
 * @param logLevel reads the level of its log
 * @param exposure reads its address and shared key
 * @param factory puts it together
 * @param <T> the type of its settings
 */
record DaemonCommand<T>(
        String word,
        Class<T> settings,
        Function<T, String> logLevel,
        Function<T, Exposure> exposure,
        BiFunction<T, Clock, Service> factory) {

    /** Where a program listens and with which shared key. */
    record Exposure(String host, String linkKey) {

        /** Of a program that has no links, so that there is nothing to guard. */
        static Exposure withoutLinks() {
            return new Exposure("127.0.0.1", "");
        }

        /** Links without a key are only for loopback. */
        boolean isSafe() {
            return !linkKey.isEmpty() || host.startsWith("127.") || host.equals("::1");
        }
    }
}

package org.sassafrastrail.wire;

import java.time.Duration;
import java.util.function.Supplier;

import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.Metrics;

/**
 * The settings shared by all links of one process.
 *
 * @param greeting supplies the greeting of this process
 * @param codec encodes and decodes messages
 * @param listener receives the events of the links
 * @param metrics counts bytes and closed links
 * @param log logs failures of connections and sockets
 * @param connectTimeout the timeout for establishing a connection, and then for the peer's greeting
 * @param readTimeout the time without a message after which an open link is closed; zero for no limit
 */
public record LinkSettings(
        Supplier<Hello> greeting,
        MessageCodec codec,
        LinkListener listener,
        Metrics metrics,
        EventLog log,
        Duration connectTimeout,
        Duration readTimeout) {}

package org.sassafrastrail.wire;

import java.time.Duration;
import java.util.function.Supplier;

import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.Metrics;

/**
 * What the links of one process share.
 *
 * @param greeting gives this process's greeting
 * @param codec encodes messages
 * @param listener hears of the links
 * @param metrics counts bytes and closures
 * @param log logs links that come and go
 * @param connectTimeout how long making a connection and greeting may take
 */
public record LinkSettings(
        Supplier<Hello> greeting,
        MessageCodec codec,
        LinkListener listener,
        Metrics metrics,
        EventLog log,
        Duration connectTimeout) {}

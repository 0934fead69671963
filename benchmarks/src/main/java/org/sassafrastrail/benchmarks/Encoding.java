package org.sassafrastrail.benchmarks;

import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.wire.MessagePackCodec;

/** Measures the time to encode and decode a message as a function of its number of entries. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class Encoding {

    /** The number of ledger entries in the message. */
    @Param({"1", "10", "42"})
    private int entries;

    private final MessagePackCodec codec = new MessagePackCodec();
    private LedgerUpdate message;
    private byte[] content;

    /** Creates the message and its encoded form. */
    @Setup
    public void build() {
        message = new LedgerUpdate(Fixtures.entries(1, entries));
        content = codec.encode(message);
    }

    /**
     * Encodes the message.
     *
     * @return the encoded message
     */
    @Benchmark
    public Object encode() {
        return codec.encode(message);
    }

    /**
     * Decodes the message.
     *
     * @return the decoded message
     */
    @Benchmark
    public Object decode() {
        return codec.decode(content);
    }
}

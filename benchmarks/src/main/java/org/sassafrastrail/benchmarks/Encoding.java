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

/** How long messages take to encode and decode, against their entries. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class Encoding {

    /** Ledger entries in the message. */
    @Param({"1", "10", "42"})
    private int entries;

    private final MessagePackCodec codec = new MessagePackCodec();
    private LedgerUpdate message;
    private byte[] content;

    /** Builds the message. */
    @Setup
    public void build() {
        message = new LedgerUpdate(Fixtures.entries(1, entries));
        content = codec.encode(message);
    }

    /**
     * Encodes.
     *
     * @return the content
     */
    @Benchmark
    public Object encode() {
        return codec.encode(message);
    }

    /**
     * Decodes.
     *
     * @return the message
     */
    @Benchmark
    public Object decode() {
        return codec.decode(content);
    }
}

package org.sassafrastrail.benchmarks;

import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.Stream;

import org.sassafrastrail.fairness.ServiceLedger;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.router.core.RouterCore;
import org.sassafrastrail.wire.MessagePackCodec;

/** Prints the encoded size of messages and the heap size of states as a function of their number of entries. */
public final class SizeReport {

    private static final int FRAME_HEADER_BYTES = 4;
    private static final int GC_ROUNDS = 4;

    private SizeReport() {}

    /**
     * Prints the report.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        MessagePackCodec codec = new MessagePackCodec();
        Stream.of(1, 10, 42)
                .forEach(entries -> printEncodedSize(
                        codec, "ledger-update", entries, new LedgerUpdate(Fixtures.entries(1, entries))));
        Stream.of(1, 10, 42)
                .forEach(accounts -> printEncodedSize(codec, "demand", accounts, Fixtures.demand(accounts)));
        Stream.of(16, 420)
                .forEach(accounts ->
                        printEncodedSize(codec, "rules", accounts, new RulesAnnouncement(Fixtures.rules(accounts))));
        RouterCore core = Fixtures.router();
        Stream.of(100, 1000, 10_000)
                .forEach(requests -> printHeapSize(
                        "waiting-requests", requests, count -> Fixtures.routerState(core, 0, 42, 42, count / 42 + 1)));
        Stream.of(420, 4200, 37_380)
                .forEach(entries -> printHeapSize("ledger-entries", entries, count -> ServiceLedger.EMPTY
                        .merge(Fixtures.entries(count / 42, 42))
                        .markedSent()));
    }

    private static void printEncodedSize(MessagePackCodec codec, String name, int entries, Message message) {
        System.out.printf(
                "%-18s %6d entries %9d bytes%n", name, entries, codec.encode(message).length + FRAME_HEADER_BYTES);
    }

    private static void printHeapSize(String name, int entries, IntFunction<Object> build) {
        build.apply(entries);
        long before = usedHeap();
        List<Object> retained = List.of(build.apply(entries));
        long after = usedHeap();
        System.out.printf(
                "%-18s %6d entries %9d bytes of heap, %d an entry (%d kept)%n",
                name, entries, after - before, (after - before) / entries, retained.size());
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        for (int round = 0; round < GC_ROUNDS; round++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}

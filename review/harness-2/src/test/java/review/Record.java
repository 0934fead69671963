package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {

    private final PrintWriter writer;
    private final long start = System.nanoTime();

    Record(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    synchronized void add(String line) {
        writer.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - start) / 1e9, line);
    }

    @Override
    public void close() {
        writer.close();
    }
}

package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes what was sent, answered and run to {@code record.txt}, with the seconds since the start. */
final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter output;

    Record(Path file) {
        try {
            output = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void add(String text) {
        output.printf("%8.3f %s%n", seconds(), text);
    }

    /** Adds a line that is printed too. */
    void result(String text) {
        add(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        output.close();
    }
}

package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with milliseconds since its start. */
final class Log implements AutoCloseable {

    private final long start = System.nanoTime();
    private final PrintWriter out;

    Log(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String text) {
        out.println(String.format("%7d %s", millis(), text));
    }

    @Override
    public void close() {
        out.close();
    }
}

package rig;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: a line for each event, with the seconds since the start. Thread safe. */
public final class Record implements AutoCloseable {

    private final long start = System.nanoTime();
    private final PrintStream out;

    public Record(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), true);
    }

    public double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    public synchronized void line(String format, Object... values) {
        out.printf("%8.3f  %s%n", seconds(), String.format(format, values));
    }

    /** Writes the line to the record and to the console. */
    public void say(String format, Object... values) {
        String text = String.format(format, values);
        line("%s", text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}

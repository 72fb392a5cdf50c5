package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.io.PrintStream;
import java.nio.file.Path;

/**
 * What a run has shown. Immutable.
 *
 * @param counts what was seen, by kind
 * @param broken a sentence for each broken promise
 * @param directory with the logs of the nodes
 */
public record SoakReport(
        long seed, int faults, ImmutableSortedMap<String, Long> counts, ImmutableList<String> broken, Path directory) {

    private static final String SERVED = "answered 200";

    /** Whether every promise held, over a run in which callers were served at all. */
    public boolean held() {
        return broken.isEmpty() && served() > 0;
    }

    public long served() {
        return counts.getOrDefault(SERVED, 0L);
    }

    public void print(PrintStream out) {
        out.printf("seed %d: %s, %d faults, logs in %s%n", seed, held() ? "held" : "BROKEN", faults, directory);
        counts.forEach((what, count) -> out.printf("  %-20s %d%n", what, count));
        broken.forEach(text -> out.println("  broken: " + text));
        if (served() == 0) {
            out.println("  broken: no request was served");
        }
        out.flush();
    }
}

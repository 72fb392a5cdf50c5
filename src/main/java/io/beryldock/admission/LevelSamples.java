package io.beryldock.admission;

import io.beryldock.call.ServiceLevel;
import java.util.Arrays;

/**
 * The last levels that answers reported for one service, of which the median is used.
 *
 * <p>If a service has several targets, one overloaded target appears in some of the answers and must not shed the
 * requests that the other targets would serve, while an overload of all targets appears in most answers. Samples older
 * than {@link #FRESH_NANOS} are ignored while there is a younger one, so that the last sample decides at a rate of few
 * answers per second. The time before the first sample counts as open. Not thread safe.
 */
final class LevelSamples {

    static final long FRESH_NANOS = 500_000_000L;
    private static final int SIZE = 7;
    private static final int INITIAL_OPEN_SAMPLES = 3;

    private final int[] levels = new int[SIZE];
    private final long[] times = new long[SIZE];
    private int count;
    private int next;

    static LevelSamples initiallyOpen(long now) {
        LevelSamples samples = new LevelSamples();
        for (int i = 0; i < INITIAL_OPEN_SAMPLES; i++) {
            samples.add(ServiceLevel.OPEN, now);
        }
        return samples;
    }

    void add(int level, long now) {
        levels[next] = level;
        times[next] = now;
        next = (next + 1) % SIZE;
        count = Math.min(SIZE, count + 1);
    }

    long lastAt() {
        return times[last()];
    }

    private int last() {
        return (next + SIZE - 1) % SIZE;
    }

    /**
     * Returns the median of the fresh samples, which is the mean of the middle two for an even number of them, or the
     * last sample when none is fresh.
     */
    int median(long now) {
        int[] fresh = new int[SIZE];
        int found = 0;
        for (int i = 0; i < count; i++) {
            if (now - times[i] <= FRESH_NANOS) {
                fresh[found++] = levels[i];
            }
        }
        if (found == 0) {
            return levels[last()];
        }
        Arrays.sort(fresh, 0, found);
        return (fresh[(found - 1) / 2] + fresh[found / 2]) / 2;
    }

    boolean allOpen() {
        for (int i = 0; i < count; i++) {
            if (levels[i] < ServiceLevel.OPEN) {
                return false;
            }
        }
        return true;
    }
}

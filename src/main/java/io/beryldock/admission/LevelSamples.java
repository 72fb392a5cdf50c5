package io.beryldock.admission;

import io.beryldock.call.ServiceLevel;
import java.util.Arrays;

/**
 * The last levels that answers reported of one service.
 *
 * <p>Their middle one counts: of a service with several targets one bad target shows in some of the answers and must
 * not shed the requests that the others would serve, while an overload of all shows in most. Samples older than
 * {@link #FRESH_NANOS} are left out while there is a younger one, so that at few answers a second the last decides.
 * What was before the first sample counts as open. Not thread safe.
 */
final class LevelSamples {

    static final long FRESH_NANOS = 500_000_000L;
    private static final int SIZE = 7;
    private static final int OPEN_BEFORE = 3;

    private final int[] levels = new int[SIZE];
    private final long[] times = new long[SIZE];
    private int count;
    private int next;

    static LevelSamples startingOpen(long now) {
        LevelSamples samples = new LevelSamples();
        for (int i = 0; i < OPEN_BEFORE; i++) {
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

    /** The middle of the fresh samples, the mean of the middle two; the last sample when none is fresh. */
    int middle(long now) {
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

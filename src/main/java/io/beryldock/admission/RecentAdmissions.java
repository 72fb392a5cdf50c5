package io.beryldock.admission;

import java.time.Duration;
import java.util.Arrays;

/** Number of requests that a gate admitted within the last second. Guarded by the gate's lock. */
final class RecentAdmissions {

    private static final int SLICES = 10;
    private static final long SLICE_NANOS = Duration.ofSeconds(1).toNanos() / SLICES;

    private final int[] admitted = new int[SLICES];
    private long sliceStart;
    private int slice;

    RecentAdmissions(long now) {
        sliceStart = now;
    }

    void add(long now) {
        advance(now);
        admitted[slice]++;
    }

    int count(long now) {
        advance(now);
        return Arrays.stream(admitted).sum();
    }

    private void advance(long now) {
        long elapsed = (now - sliceStart) / SLICE_NANOS;
        if (elapsed >= SLICES) {
            Arrays.fill(admitted, 0);
            sliceStart = now;
            return;
        }
        for (long i = 0; i < elapsed; i++) {
            slice = (slice + 1) % SLICES;
            admitted[slice] = 0;
            sliceStart += SLICE_NANOS;
        }
    }
}

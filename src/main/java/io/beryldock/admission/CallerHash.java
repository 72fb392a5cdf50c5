package io.beryldock.admission;

import com.google.common.hash.Hashing;
import io.beryldock.call.ServiceLevel;
import java.nio.charset.StandardCharsets;

/**
 * Hash of a caller that is equal at every node within one epoch, so that all nodes shed the same callers and a root
 * request is admitted or shed as a whole.
 *
 * <p>The epoch seeds the hash, so that the order of callers changes with it and the same callers are not shed
 * permanently. Stateless and thread safe.
 */
public final class CallerHash {

    private CallerHash() {}

    /** Hash of the caller's identity in the epoch. */
    public static int of(String identity, long epoch) {
        return Hashing.murmur3_32_fixed((int) epoch)
                .hashString(identity, StandardCharsets.UTF_8)
                .asInt();
    }

    /**
     * Hash of a request that was shed before and is retried: it lies in the lower half of the rank's range, which is
     * shed last.
     */
    public static int returned(int callerHash) {
        return Math.floorMod(callerHash, ServiceLevel.STEPS) / 2;
    }

    /**
     * Position of the rank and caller on the scale of levels; a level admits a request when it is higher than this
     * position.
     */
    static int position(int rank, int callerHash) {
        return rank * ServiceLevel.STEPS + Math.floorMod(callerHash, ServiceLevel.STEPS);
    }
}

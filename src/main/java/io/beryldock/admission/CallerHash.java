package io.beryldock.admission;

import com.google.common.hash.Hashing;
import io.beryldock.call.ServiceLevel;
import java.nio.charset.StandardCharsets;

/**
 * Hash of a caller that is equal at every node in one epoch, so that whole requests live or die together.
 *
 * <p>Stateless, thread safe. With the epoch the order of callers changes, so that the same people are not always shed.
 */
public final class CallerHash {

    private CallerHash() {}

    /** Hash of the caller's identity in the epoch. */
    public static int of(String identity, long epoch) {
        return Hashing.murmur3_32_fixed((int) epoch)
                .hashString(identity, StandardCharsets.UTF_8)
                .asInt();
    }

    /** The hash of a request that was turned away before: among the half of its rank that is shed last. */
    public static int returned(int callerHash) {
        return Math.floorMod(callerHash, ServiceLevel.STEPS) / 2;
    }

    /** The lowest level that admits the rank and caller; a level admits a request when it is higher than this. */
    static int position(int rank, int callerHash) {
        return rank * ServiceLevel.STEPS + Math.floorMod(callerHash, ServiceLevel.STEPS);
    }
}

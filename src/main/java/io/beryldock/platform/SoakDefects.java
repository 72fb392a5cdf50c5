package io.beryldock.platform;

import com.google.common.collect.EnumMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import io.beryldock.soak.ResponseFault;
import java.util.Map;
import java.util.SplittableRandom;

/** Draws the defects of soak targets' responses while faults are active. Thread safe. */
final class SoakDefects {

    /** Shares of the responses that have a defect of the fault while it is active. */
    private static final Map<ResponseFault, Double> SHARES =
            Map.of(ResponseFault.REPEATED, 0.5, ResponseFault.BROKEN, 0.12, ResponseFault.ENDLESS, 0.05);

    private final SplittableRandom random;
    private final Multiset<ResponseFault> active = EnumMultiset.create(ResponseFault.class);

    SoakDefects(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Starts or ends a period of the fault; periods of one fault may overlap. */
    synchronized void set(ResponseFault fault, boolean begins) {
        if (begins) {
            active.add(fault);
        } else {
            active.remove(fault);
        }
    }

    /** Returns the defect of the next response. */
    synchronized SoakDefect next() {
        for (ResponseFault fault : ResponseFault.values()) {
            if (active.contains(fault) && random.nextDouble() < SHARES.get(fault)) {
                ImmutableList<SoakDefect> defects = SoakDefect.of(fault);
                return defects.get(random.nextInt(defects.size()));
            }
        }
        return SoakDefect.NONE;
    }
}

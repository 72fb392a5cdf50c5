package io.beryldock.credit;

import io.beryldock.call.ServiceName;
import io.beryldock.call.TargetLoad;
import java.util.Objects;

/** Service and load of the target in this VM. Immutable. */
public record GateLoad(ServiceName service, TargetLoad load) {

    /** Share of the limit above which a gate is nearly full. Normal load peaks stay below it. */
    private static final double NEARLY_FULL = 0.85;

    public GateLoad {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(load, "load");
    }

    static boolean isNearlyFull(TargetLoad load) {
        return load.queued() > 0 || load.running() > NEARLY_FULL * load.limit();
    }
}

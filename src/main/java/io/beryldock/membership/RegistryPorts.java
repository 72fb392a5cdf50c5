package io.beryldock.membership;

import io.beryldock.store.RegistryStore;
import io.beryldock.store.StoreRecovery;
import io.beryldock.store.StoreSharing;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.util.random.RandomGenerator;

/** The dependencies of store-based membership; the timers run on the control thread. Immutable. */
public record RegistryPorts(
        RegistryStore store,
        StoreRecovery recovery,
        StoreSharing sharing,
        TimerService timers,
        RandomGenerator random,
        EventSink events) {}

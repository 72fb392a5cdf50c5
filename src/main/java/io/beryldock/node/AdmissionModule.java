package io.beryldock.node;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.admission.EntryShedder;
import io.beryldock.credit.TreeCredits;
import io.beryldock.eventloop.LoopTimerService;
import io.beryldock.forwarding.RootAdmission;
import io.beryldock.settings.NodeSettings;
import io.beryldock.timeline.EventSink;
import io.beryldock.waiting.EntryAdmission;
import io.beryldock.waiting.EntryWaiting;
import io.beryldock.waiting.WaitingPorts;
import io.beryldock.waiting.WaitingSettings;
import java.util.random.RandomGenerator;

/** Binds the admission control of callers' requests. Its timers run on traffic threads. */
final class AdmissionModule extends AbstractModule {

    private final LoopTimerService timers;

    AdmissionModule(LoopTimerService timers) {
        this.timers = timers;
    }

    @Provides
    @Singleton
    EntryWaiting entryWaiting(TreeCredits credits, RandomGenerator random, EventSink events) {
        return EntryWaiting.create(WaitingPorts.of(WaitingSettings.defaults(), credits, random, events), timers);
    }

    @Provides
    EntryAdmission waiting(EntryWaiting waiting) {
        return waiting;
    }

    @Provides
    @Singleton
    RootAdmission rootAdmission(
            NodeSettings settings, EntryShedder shedder, TreeCredits credits, EntryAdmission waiting) {
        return RootAdmission.create(
                new RootAdmission.Ports(settings.policy(), shedder, credits, waiting, timers.ticker()));
    }
}

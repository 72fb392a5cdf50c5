package io.beryldock.node;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.admission.DoorShedder;
import io.beryldock.command.OperatorPorts;
import io.beryldock.command.OperatorService;
import io.beryldock.configuration.ConfigurationKeeper;
import io.beryldock.configuration.ConfigurationWriter;
import io.beryldock.forwarding.RetryTally;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.membership.MembershipService;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.NettyPeerTransport;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventRing;
import io.beryldock.timeline.RefusalCounter;
import java.util.random.RandomGenerator;

/** Binds what operators see and do. */
final class OperatorModule extends AbstractModule {

    @Provides
    @Singleton
    NodeInspection inspection(
            NodeDescriptor self,
            ControlLoop control,
            MembershipService membership,
            TargetAnnouncements announcements,
            DoorShedder door,
            ConfigurationKeeper configuration,
            KeyedRequests keyed,
            NettyPeerTransport transport,
            NodeLedgers ledgers,
            TimerService timers) {
        return new NodeInspection(new NodeInspection.Parts(
                self,
                control,
                membership,
                announcements,
                door,
                configuration,
                keyed,
                transport,
                ledgers,
                timers.ticker()));
    }

    @Provides
    @Singleton
    NodeHealth health() {
        return new NodeHealth();
    }

    @Provides
    @Singleton
    NodeLedgers ledgers(RetryTally retries, ConfigurationKeeper configuration, Quarantine quarantine) {
        return new NodeLedgers(retries, configuration, quarantine);
    }

    @Provides
    @Singleton
    OperatorService operators(
            NodeDescriptor self,
            MembershipService membership,
            NettyPeerTransport transport,
            NodeInspection inspection,
            ConfigurationWriter writer,
            ConfigurationKeeper keeper,
            TargetAnnouncements announcements,
            ControlLoop control,
            EventRing events,
            RefusalCounter refusals,
            TimerService timers,
            RandomGenerator random) {
        return OperatorService.create(new OperatorPorts(
                self.id(),
                self.dataCentre(),
                membership::directory,
                transport,
                inspection,
                new ConfigurationChanges(writer, keeper),
                new DrainControl(announcements, control),
                events,
                refusals,
                timers,
                random));
    }
}

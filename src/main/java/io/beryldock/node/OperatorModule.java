package io.beryldock.node;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.admission.EntryShedder;
import io.beryldock.command.OperatorPorts;
import io.beryldock.command.OperatorService;
import io.beryldock.command.StoreConfigurationChanger;
import io.beryldock.configuration.ActiveConfiguration;
import io.beryldock.configuration.ConfigurationSync;
import io.beryldock.configuration.ConfigurationWriter;
import io.beryldock.credit.CreditNode;
import io.beryldock.forwarding.JoiningRequestHandler;
import io.beryldock.forwarding.RequestTally;
import io.beryldock.forwarding.RetryTally;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.NettyPeerTransport;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.RetryLedger;
import io.beryldock.routing.TargetChooser;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventRing;
import io.beryldock.timeline.RefusalCounter;
import io.beryldock.waiting.EntryWaiting;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** Binds the operator interface of one node: inspection, metrics and commands. */
final class OperatorModule extends AbstractModule {

    @Provides
    @Singleton
    NodeInspection inspection(
            NodeDescriptor self,
            ControlLoop control,
            Membership membership,
            TargetAnnouncements announcements,
            EntryShedder shedder,
            KeyedRequests keyed,
            NettyPeerTransport transport,
            LedgerTables ledgers,
            TimerService timers) {
        return new NodeInspection(new NodeInspection.Parts(
                self, control, membership, announcements, shedder, keyed, transport, ledgers, timers.ticker()));
    }

    @Provides
    @Singleton
    NodeHealth health() {
        return new NodeHealth();
    }

    @Provides
    @Singleton
    QuarantineGossip quarantineGossip(
            Quarantine quarantine,
            Membership membership,
            NodeDescriptor self,
            PeerTransport transport,
            RandomGenerator random) {
        QuarantineGossip gossip = new QuarantineGossip(quarantine, membership::directory, self, transport, random);
        transport.registerHandler(PeerTopic.QUARANTINE, gossip);
        return gossip;
    }

    @Provides
    @Singleton
    NodeFailureWatch failureWatch(Membership membership, Quarantine quarantine) {
        return new NodeFailureWatch(membership, quarantine);
    }

    @Provides
    @Singleton
    NodeMetrics metrics(
            RequestTally tally,
            JoiningRequestHandler joining,
            RetryTally retries,
            ArrivalControl arrivals,
            RetryLedger ledger,
            TargetAnnouncements announcements,
            TargetChooser chooser,
            NettyPeerTransport transport,
            CreditNode credits,
            EntryWaiting waiting,
            ActiveConfiguration configuration,
            Membership membership) {
        return new NodeMetrics(new NodeMetrics.Parts(
                tally,
                joining,
                retries,
                arrivals,
                ledger,
                announcements,
                chooser,
                transport,
                credits,
                waiting,
                () -> configuration.current().version(),
                () -> membership.directory().nodes().size()));
    }

    @Provides
    @Singleton
    LedgerTables ledgers(RetryTally retries, Quarantine quarantine) {
        return new LedgerTables(retries, quarantine);
    }

    @Provides
    @Singleton
    OperatorService operators(
            NodeDescriptor self,
            Membership membership,
            PeerTransport transport,
            NodeInspection inspection,
            ConfigurationWriter writer,
            ActiveConfiguration activeConfiguration,
            ConfigurationSync sync,
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
                activeConfiguration,
                StoreConfigurationChanger.create(writer, activeConfiguration),
                (version, time) -> CompletableFuture.supplyAsync(() -> sync.awaitInForce(version, time), control)
                        .thenCompose(Function.identity()),
                new DrainControl(announcements, control),
                events,
                refusals,
                timers,
                random));
    }
}

package io.beryldock.node;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.call.NodeId;
import io.beryldock.credit.CreditNode;
import io.beryldock.credit.CreditSettings;
import io.beryldock.credit.EntryCredits;
import io.beryldock.credit.GateLoad;
import io.beryldock.credit.GateReporter;
import io.beryldock.credit.Party;
import io.beryldock.credit.TreeCredits;
import io.beryldock.eventloop.LoopTimerService;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.share.Division;

/** Binds the credit system of one node. Its timers run on traffic threads. */
final class CreditModule extends AbstractModule {

    private final LoopTimerService timers;
    private final Division<Party> division;

    CreditModule(LoopTimerService timers, Division<Party> division) {
        this.timers = timers;
        this.division = division;
    }

    /** Credits are off, because the product's own settings do not contain them. */
    @Provides
    @Singleton
    CreditSettings creditSettings() {
        return CreditSettings.off();
    }

    @Provides
    @Singleton
    CreditNode credits(
            CreditSettings settings,
            NodeDescriptor self,
            Provider<Membership> membership,
            Provider<TargetAnnouncements> announcements,
            PeerTransport transport) {
        CreditNode credits = CreditNode.create(new CreditNode.Ports(
                settings,
                DirectoryCreditPeers.create(self, () -> membership.get().directory(), transport),
                timers,
                division,
                () -> announcements
                        .get()
                        .current()
                        .map(target ->
                                new GateLoad(target.service(), target.gate().load()))));
        transport.registerHandler(
                PeerTopic.CREDIT,
                message -> credits.onMessage(NodeId.of(message.sender()), message.body(), message::reply));
        return credits;
    }

    @Provides
    EntryCredits entryCredits(CreditNode credits) {
        return credits.entryCredits();
    }

    @Provides
    TreeCredits treeCredits(CreditNode credits) {
        return credits.entryCredits();
    }

    @Provides
    GateReporter reporter(CreditNode credits) {
        return credits.reporter();
    }
}

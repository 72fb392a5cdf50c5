package io.beryldock.platform;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.admission.GateSettings;
import io.beryldock.call.NodeId;
import io.beryldock.configuration.ActiveConfiguration;
import io.beryldock.configuration.DocumentSync;
import io.beryldock.credit.CreditSettings;
import io.beryldock.forwarding.CallerAccess;
import io.beryldock.forwarding.ExecutionRegistry;
import io.beryldock.forwarding.TargetClient;
import io.beryldock.forwarding.TargetProcesses;
import io.beryldock.http.TcpTargetProbe;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.RegistryMembership;
import io.beryldock.membership.RegistryPorts;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.node.ControlLoop;
import io.beryldock.node.DirectoryPeers;
import io.beryldock.node.TargetAnnouncements;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quota.QuotaTerms;
import io.beryldock.retry.ArrivalBudget;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.RetryBudget;
import io.beryldock.retry.RetryBudgets;
import io.beryldock.retry.RetryPolicySettings;
import io.beryldock.routing.ChooserSettings;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.RegistryStore;
import io.beryldock.store.StoreRecovery;
import io.beryldock.store.StoreSharing;
import io.beryldock.time.Moment;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.util.random.RandomGenerator;

/** Guice bindings of the parts of a node that the platform replaces. */
final class PlatformModule extends AbstractModule {

    /** Leaves a margin for requests that were sent before a window and arrive in it. */
    private static final double USED_SHARE = 0.95;

    private final PlatformSettings settings;
    private final HttpClient targetClient;
    private final OperatorDocument document;

    PlatformModule(PlatformSettings settings, HttpClient targetClient, OperatorDocument document) {
        this.settings = settings;
        this.targetClient = targetClient;
        this.document = document;
    }

    @Provides
    @Singleton
    RegistryStore registry(PlatformStore store) {
        return (KvStoreClient) store;
    }

    @Provides
    @Singleton
    StoreRecovery recovery() {
        return StoreRecovery.create();
    }

    /** Takes a provider of the membership, because the membership itself depends on this object. */
    @Provides
    @Singleton
    StoreSharing sharing(
            NodeDescriptor self,
            RegistryStore store,
            StoreRecovery recovery,
            Provider<Membership> membership,
            PeerTransport transport,
            ControlLoop control,
            TimerService timers,
            RandomGenerator random) {
        DirectoryPeers peers =
                DirectoryPeers.create(self, () -> membership.get().directory(), transport, random);
        StoreSharing sharing = StoreSharing.create(
                self.id(), new StoreSharing.Ports(store, recovery, peers, timers, Moment.Source.system(), random));
        transport.registerHandler(
                PeerTopic.STORE,
                message -> control.execute(
                        () -> sharing.onMessage(NodeId.of(message.sender()), message.body(), message::reply)));
        return sharing;
    }

    @Provides
    @Singleton
    RegistryMembership registryMembership(
            NodeDescriptor self,
            RegistryStore store,
            StoreRecovery recovery,
            StoreSharing sharing,
            TimerService timers,
            RandomGenerator random,
            EventSink events) {
        return RegistryMembership.create(self, new RegistryPorts(store, recovery, sharing, timers, random, events));
    }

    @Provides
    @Singleton
    Membership membership(RegistryMembership membership) {
        return membership;
    }

    @Provides
    @Singleton
    DocumentSync documentSync(ActiveConfiguration activeConfiguration, StoreSharing sharing) {
        return DocumentSync.create(activeConfiguration, sharing, OperatorDocument.KEY, document);
    }

    @Provides
    @Singleton
    ExecutionRegistry executions() {
        return ExecutionRegistry.create(call -> call.headers().first(PlatformHeaders.REQUEST_ID));
    }

    @Provides
    @Singleton
    CallerAccess callerAccess(DocumentSync documents) {
        return CallerAccess.create(documents::verifiedAgeNanos, settings.revokedKeysWithin());
    }

    @Provides
    @Singleton
    QuotaTerms quotaTerms() {
        return settings.quotaTerms();
    }

    @Provides
    @Singleton
    LocalTargets localTargets(ControlLoop control, TargetAnnouncements announcements, RegistryMembership departures) {
        TargetHealth health = new HttpTargetHealth(targetClient, document::healthPath);
        return new LocalTargets(
                control,
                announcements::announce,
                announcements::onTargetRestart,
                departures,
                health,
                Moment.Source.system());
    }

    @Provides
    @Singleton
    TargetProcesses targetLives(LocalTargets targets) {
        return new LocalTargetProcesses(targets, targetClient, new TcpTargetProbe());
    }

    @Provides
    @Singleton
    TargetClient targetClient(LocalTargets targets) {
        return new PlatformTargetClient(targetClient, targets::current);
    }

    /**
     * Settings that keep the concurrency limit at the announced slots: a target runs that many requests at once and
     * queues the rest.
     *
     * <p>A limit adapted to service times would drop too far, because service times differ tenfold between the kinds of
     * requests of one target.
     */
    @Provides
    @Singleton
    GateSettings gateSettings() {
        return settings.targets().gate();
    }

    @Provides
    @Singleton
    ChooserSettings chooserSettings() {
        return settings.targets().chooser();
    }

    @Provides
    @Singleton
    CreditSettings creditSettings() {
        return new CreditSettings(settings.creditsEnabled());
    }

    @Provides
    @Singleton
    RetryPolicySettings retryPolicy() {
        return settings.retries().policy();
    }

    /** Repeats are limited where they arrive, which bounds the sum over all nodes; senders know only their own. */
    @Provides
    @Singleton
    RetryBudgets budgets(TimerService timers) {
        return RetryBudgets.ofCallees(service -> RetryBudget.limitedOnArrival(timers.ticker()));
    }

    @Provides
    @Singleton
    ArrivalControl arrivals(TimerService timers) {
        PlatformSettings.Retries retries = settings.retries();
        return ArrivalControl.create(
                timers.ticker(), new ArrivalBudget.Limits(USED_SHARE * retries.share(), retries.window()));
    }
}

package io.beryldock.platform;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.admission.GateSettings;
import io.beryldock.call.NodeId;
import io.beryldock.configuration.ConfigurationKeeper;
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
import io.beryldock.retry.RetryBudgetSettings;
import io.beryldock.retry.RetryBudgets;
import io.beryldock.retry.RetryPolicySettings;
import io.beryldock.retry.WindowRetryBudget;
import io.beryldock.routing.ChooserSettings;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.RegistryStore;
import io.beryldock.store.StoreRecovery;
import io.beryldock.store.StoreSharing;
import io.beryldock.time.Moment;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.util.random.RandomGenerator;

/** The parts of a node that the platform brings in place of the product's own surroundings. */
final class PlatformModule extends AbstractModule {

    /** A window can hold the tokens of the one before it too. */
    private static final int WINDOWS_SAVED = 2;

    /** Calls in a row beneath one request for which retries are provided. */
    private static final int LONGEST_CHAIN = 5;

    /** Part of the allowed share that is used: nodes' windows don't begin at one moment. */
    private static final double SPENT_SHARE = 0.9;

    /** Part of the slack that is used; the rest is for nodes that start, as what they sent before is not known. */
    private static final double SPENT_SLACK = 0.5;

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

    /** The membership is known only when it is first asked for: it follows the store through this. */
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
        transport.handle(
                PeerTopic.STORE,
                message -> control.execute(
                        () -> sharing.onMessage(NodeId.of(message.sender()), message.body(), message::reply)));
        return sharing;
    }

    @Provides
    @Singleton
    Membership membership(
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
    DocumentSync documentSync(ConfigurationKeeper keeper, StoreSharing sharing) {
        boolean verified = settings.revokedKeysWithin().isPresent();
        return DocumentSync.create(keeper, sharing, OperatorDocument.KEY, document, verified);
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
    LocalTargets localTargets(ControlLoop control, TargetAnnouncements announcements) {
        return new LocalTargets(control, announcements::announce, announcements::restarted);
    }

    @Provides
    @Singleton
    TargetProcesses targetLives(LocalTargets targets) {
        return new LocalTargetLives(targets, targetClient, new TcpTargetProbe());
    }

    @Provides
    @Singleton
    TargetClient targetClient(LocalTargets targets) {
        return new PlatformTargetClient(targetClient, targets::current);
    }

    /**
     * Targets run as many requests at once as they announce, and queue the rest: the limit stays at the slots.
     *
     * <p>A limit found by service times sinks where these differ tenfold between the kinds of requests of one target.
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
        return new CreditSettings(settings.takesCredits());
    }

    @Provides
    @Singleton
    RetryPolicySettings retryPolicy() {
        return settings.retries().policy();
    }

    @Provides
    @Singleton
    RetryBudgets budgets(TimerService timers, Membership membership) {
        if (settings.retries().isWindowed()) {
            return RetryBudgets.ofCallees(
                    service -> WindowRetryBudget.create(timers.ticker(), windowTerms(membership)));
        }
        return RetryBudgets.create(
                timers.ticker(),
                service -> budget(Math.max(1, membership.directory().nodes().size())));
    }

    /** Repeats of repeats are counted, so the share needs no divisor; the slack is an even part for each node. */
    private WindowRetryBudget.Limits windowTerms(Membership membership) {
        int nodes = Math.max(1, membership.directory().nodes().size());
        PlatformSettings.Retries retries = settings.retries();
        int floor = (int) (SPENT_SLACK * retries.slack() / nodes);
        return new WindowRetryBudget.Limits(SPENT_SHARE * retries.share(), floor, retries.window());
    }

    /**
     * This node's part of what all nodes may retry.
     *
     * <p>Tokens of first tries may be saved up for a window, so that a window can see twice the share; and a retried
     * call repeats the calls beneath it, so that a service pays for the retries of every service above it. The share is
     * divided for both. With a divisor of 4 a service that refused half of its calls saw 1,459 repeats in 10 s where
     * 1,358 were allowed (one played day). The slack is split over all nodes, half of it saved up and half of it
     * trickling in a window.
     */
    private RetryBudgetSettings budget(int nodes) {
        double slack = settings.retries().slack() / 2 / nodes;
        double perSecond = slack / settings.retries().windowSeconds();
        return new RetryBudgetSettings(
                settings.retries().share() / (WINDOWS_SAVED * LONGEST_CHAIN),
                perSecond,
                slack,
                settings.retries().window());
    }
}

package io.beryldock.platform;

import com.google.common.flogger.FluentLogger;
import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.admission.GateSettings;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
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

/** Guice bindings of the parts of a node that the platform replaces. */
final class PlatformModule extends AbstractModule {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Windows whose tokens can be spent in one window: its own and those saved in the window before. */
    private static final int TOKEN_WINDOWS = 2;

    /** Longest chain of nested calls beneath one request that the retry budget provides for. */
    private static final int MAX_CALL_DEPTH = 5;

    /** Fraction of the allowed share that is used, because the windows of the nodes do not start simultaneously. */
    private static final double USED_SHARE = 0.9;

    /**
     * Fraction of the slack that is used. The rest is reserved for restarted nodes, whose earlier requests are not
     * counted.
     */
    private static final double USED_SLACK = 0.5;

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
    DocumentSync documentSync(ActiveConfiguration activeConfiguration, StoreSharing sharing) {
        boolean verified = settings.revokedKeysWithin().isPresent();
        return DocumentSync.create(activeConfiguration, sharing, OperatorDocument.KEY, document, verified);
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
        return new LocalTargets(control, announcements::announce, announcements::onTargetRestart);
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

    @Provides
    @Singleton
    RetryBudgets budgets(TimerService timers, Membership membership) {
        if (settings.retries().isWindowed()) {
            return RetryBudgets.ofCallees(
                    service -> WindowRetryBudget.create(timers.ticker(), windowTerms(service, membership)));
        }
        return RetryBudgets.create(
                timers.ticker(),
                service -> budget(Math.max(1, membership.directory().nodes().size())));
    }

    /**
     * The terms of a windowed budget. Retries of retried calls are counted too, so the share needs no divisor. The
     * slack is divided evenly between the nodes.
     */
    private WindowRetryBudget.Limits windowTerms(ServiceName service, Membership membership) {
        int nodes = Math.max(1, membership.directory().nodes().size());
        PlatformSettings.Retries retries = settings.retries();
        int minimum = (int) (USED_SLACK * retries.slack() / nodes);
        WindowRetryBudget.Limits limits =
                new WindowRetryBudget.Limits(USED_SHARE * retries.share(), minimum, retries.window());
        log.atInfo().log("retry budget created: service=%s nodes=%d limits=%s", service, nodes, limits);
        return limits;
    }

    /**
     * This node's part of the retry budget of all nodes.
     *
     * <p>The share is divided by two factors. Tokens earned by first attempts can be saved for one window, so up to
     * twice the share can be spent in a window. A retried call also repeats its nested calls, so a service bears the
     * retries of every service above it in the call chain. A divisor of 4 is too small: in a replay of one day, a
     * service that refused half of its calls received 1,459 retries in 10 s where 1,358 were allowed. The slack is
     * divided between all nodes; half of it can be saved up, and half of it is refilled evenly over a window.
     */
    private RetryBudgetSettings budget(int nodes) {
        double slack = settings.retries().slack() / 2 / nodes;
        double perSecond = slack / settings.retries().windowSeconds();
        return new RetryBudgetSettings(
                settings.retries().share() / (TOKEN_WINDOWS * MAX_CALL_DEPTH),
                perSecond,
                slack,
                settings.retries().window());
    }
}

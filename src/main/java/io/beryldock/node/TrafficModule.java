package io.beryldock.node;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.admission.EntryShedder;
import io.beryldock.admission.GateSettings;
import io.beryldock.admission.LimitStrategies;
import io.beryldock.admission.TargetGate;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestIds;
import io.beryldock.configuration.ActiveConfiguration;
import io.beryldock.credit.GateReporter;
import io.beryldock.eventloop.LoopTimerService;
import io.beryldock.forwarding.AnnouncedTarget;
import io.beryldock.forwarding.CallForwarder;
import io.beryldock.forwarding.CallerAccess;
import io.beryldock.forwarding.EntryService;
import io.beryldock.forwarding.ExecutionRegistry;
import io.beryldock.forwarding.HomeDispatcher;
import io.beryldock.forwarding.InnerCallDetector;
import io.beryldock.forwarding.JoiningRequestHandler;
import io.beryldock.forwarding.KeyedRequestHandler;
import io.beryldock.forwarding.PeerCallClient;
import io.beryldock.forwarding.PeerCallServer;
import io.beryldock.forwarding.RefusalSummary;
import io.beryldock.forwarding.RepeatSummary;
import io.beryldock.forwarding.RequestJournal;
import io.beryldock.forwarding.RequestTally;
import io.beryldock.forwarding.RetryTally;
import io.beryldock.forwarding.RootAdmission;
import io.beryldock.forwarding.TargetClient;
import io.beryldock.forwarding.TargetCrashDetector;
import io.beryldock.forwarding.TargetExecutor;
import io.beryldock.forwarding.TargetProcesses;
import io.beryldock.http.HttpTargetClient;
import io.beryldock.http.TargetConnectionMonitor;
import io.beryldock.http.TcpTargetProbe;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.node.TargetAnnouncements.GateFactory;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.quota.QuotaLimiter;
import io.beryldock.quota.QuotaTerms;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.Backoff;
import io.beryldock.retry.RetryBudgets;
import io.beryldock.retry.RetryGate;
import io.beryldock.retry.RetryLedger;
import io.beryldock.retry.RetryPolicy;
import io.beryldock.retry.RetryPolicySettings;
import io.beryldock.routing.TargetChooser;
import io.beryldock.settings.NodeSettings;
import io.beryldock.settings.NodeSettings.Policy;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.timeline.RefusalCounter;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Binds the request path of one node: entry, forwarding and execution. Its timers run on traffic threads. */
final class TrafficModule extends AbstractModule {

    /**
     * Length of the epochs in which a caller's hash is constant. An inaccurate clock only shifts the epoch boundary of
     * its own node.
     */
    private static final long EPOCH_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private static final int BASELINE_QUEUE = 100_000;
    private static final Duration BASELINE_WAIT = Duration.ofSeconds(60);

    private final SharedResources shared;
    private final LoopTimerService timers;

    TrafficModule(SharedResources shared, LoopTimerService timers) {
        this.shared = shared;
        this.timers = timers;
    }

    @Override
    protected void configure() {
        bind(ExecutionRegistry.class).toInstance(ExecutionRegistry.create());
        bind(LoopTimerService.class).toInstance(timers);
        bind(RetryTally.class).toInstance(RetryTally.create());
        bind(RequestTally.class).toInstance(RequestTally.create());
    }

    @Provides
    @Singleton
    GateSettings gateSettings(NodeSettings settings) {
        return settings.policy() == Policy.NONE ? baseline(settings) : GateSettings.defaults();
    }

    /** Baseline without admission control: the target runs as many requests as there are connections to it. */
    private static GateSettings baseline(NodeSettings settings) {
        int limit = settings.limits().connectionsToTarget();
        return new GateSettings(
                LimitStrategies.fixed(limit),
                limit,
                limit,
                limit,
                0,
                1,
                false,
                BASELINE_QUEUE,
                BASELINE_WAIT,
                BASELINE_WAIT,
                Duration.ZERO,
                BASELINE_WAIT);
    }

    /** Gates decide on traffic threads; announcements are handled on the control thread. */
    @Provides
    @Singleton
    TargetAnnouncements announcements(
            NodeSettings settings,
            Membership membership,
            TimerService controlTimers,
            RandomGenerator random,
            GateSettings gateSettings,
            EventSink events) {
        Duration expiry = Duration.ofSeconds(settings.limits().announcementSeconds());
        GateFactory gates = (service, gate, start) -> TargetGate.create(gate, timers, random, events, service, start);
        boolean boundBySlots = settings.policy() == Policy.FULL;
        return new TargetAnnouncements(membership, gates, gateSettings, boundBySlots, expiry, controlTimers, events);
    }

    @Provides
    @Singleton
    TargetClient targetClient(NodeSettings settings, TargetAnnouncements announcements) {
        return HttpTargetClient.create(
                shared.targetClient().orElseThrow(),
                () -> announcements
                        .current()
                        .map(AnnouncedTarget::address)
                        .orElseGet(() -> InetSocketAddress.createUnresolved("0.0.0.0", 0)),
                settings.limits().maxBodyBytes());
    }

    @Provides
    @Singleton
    TargetProcesses targetLives() {
        return TargetConnectionMonitor.create(new TcpTargetProbe());
    }

    @Provides
    @Singleton
    TargetCrashDetector crashDetector(
            TargetProcesses processes, Quarantine quarantine, QuarantineGossip gossip, EventSink events) {
        return TargetCrashDetector.create(processes, quarantine, gossip, timers, events);
    }

    @Provides
    @Singleton
    TargetExecutor targetExecutor(
            TargetAnnouncements announcements,
            TargetClient client,
            ExecutionRegistry executions,
            RetryLedger ledger,
            Quarantine quarantine,
            KeyedRequests keyed,
            TargetCrashDetector crashes,
            GateReporter reporter,
            ArrivalControl arrivals,
            EventSink events,
            PeerTransport transport) {
        RepeatSummary.start(arrivals, timers);
        TargetExecutor executor = TargetExecutor.create(new TargetExecutor.Ports(
                announcements::current,
                client,
                executions,
                ledger,
                quarantine,
                keyed.guard(),
                crashes,
                reporter::onLoad,
                arrivals,
                timers,
                events));
        transport.registerHandler(PeerTopic.CALL, PeerCallServer.create(executor));
        return executor;
    }

    /** Repeats are limited at their senders only, by the budgets of pairs of services. */
    @Provides
    @Singleton
    ArrivalControl arrivals() {
        return ArrivalControl.unlimited(timers.ticker());
    }

    @Provides
    @Singleton
    RetryPolicySettings retryPolicy() {
        return RetryPolicySettings.defaults();
    }

    @Provides
    @Singleton
    CallForwarder forwarder(
            NodeSettings settings,
            NodeDescriptor self,
            Membership membership,
            TargetChooser chooser,
            TargetExecutor executor,
            PeerTransport transport,
            EntryShedder shedder,
            RetryPolicySettings retries,
            RetryBudgets budgets,
            RetryTally retryTally,
            Backoff backoff,
            Quarantine quarantine,
            ControlLoop control,
            RequestIds ids,
            EventSink events) {
        return CallForwarder.create(new CallForwarder.Ports(
                self.id(),
                settings.policy(),
                membership::directory,
                chooser,
                executor,
                PeerCallClient.create(transport),
                shedder,
                RetryGate.create(RetryPolicy.create(retries), events),
                budgets,
                retryTally,
                backoff,
                quarantine,
                node -> control.execute(() -> membership.hintUnreachable(node.id())),
                ids,
                timers,
                events));
    }

    @Provides
    @Singleton
    KeyedRequestHandler keyed(KeyedRequests requests, HomeDispatcher dispatcher, DeferredDispatcher deferred) {
        deferred.set(dispatcher);
        return requests.coordinator()::handle;
    }

    @Provides
    @Singleton
    HomeDispatcher homeDispatcher(
            NodeSettings settings, EntryShedder shedder, RetryLedger ledger, CallForwarder forwarder) {
        return HomeDispatcher.create(settings.policy(), shedder, ledger, forwarder);
    }

    @Provides
    @Singleton
    RefusalCounter refusals() {
        return RefusalCounter.create(timers.ticker());
    }

    @Provides
    @Singleton
    RequestJournal journal(RefusalCounter refusals, EventSink events) {
        return RequestJournal.create(refusals, RefusalSummary.start(timers), events);
    }

    @Provides
    @Singleton
    InnerCallDetector innerCalls(ExecutionRegistry executions, TargetAnnouncements announcements) {
        return InnerCallDetector.create(
                executions, () -> announcements.current().map(AnnouncedTarget::service), timers.ticker());
    }

    @Provides
    @Singleton
    JoiningRequestHandler joining(EntryService entry) {
        return JoiningRequestHandler.create(entry);
    }

    /** Access is not restricted, because the product's own configuration has no organisations. */
    @Provides
    @Singleton
    CallerAccess callerAccess() {
        return CallerAccess.unbounded();
    }

    @Provides
    @Singleton
    QuotaTerms quotaTerms() {
        return QuotaTerms.defaults();
    }

    @Provides
    @Singleton
    QuotaLimiter quotas(
            QuotaTerms terms,
            NodeDescriptor self,
            Provider<Membership> membership,
            PeerTransport transport,
            ActiveConfiguration configuration,
            RandomGenerator random) {
        QuotaLimiter quotas = QuotaLimiter.create(new QuotaLimiter.Ports(
                terms,
                DirectoryQuotaPeers.create(self, () -> membership.get().directory(), transport),
                () -> configuration.current().organisations(),
                timers.ticker(),
                random));
        transport.registerHandler(
                PeerTopic.QUOTA,
                message -> quotas.onMessage(NodeId.of(message.sender()), message.body(), message::reply));
        return quotas;
    }

    @Provides
    @Singleton
    EntryService entry(
            NodeSettings settings,
            ActiveConfiguration configuration,
            CallerAccess access,
            QuotaLimiter quotas,
            RootAdmission admission,
            RetryLedger ledger,
            ExecutionRegistry executions,
            InnerCallDetector innerCalls,
            CallForwarder forwarder,
            KeyedRequestHandler keyed,
            RequestIds ids,
            RequestTally tally,
            RequestJournal journal,
            RandomGenerator random) {
        Clock clock = Clock.systemUTC();
        return EntryService.create(new EntryService.Ports(
                settings.policy(),
                configuration::current,
                access,
                quotas,
                admission,
                ledger,
                executions,
                innerCalls,
                forwarder,
                keyed,
                ids,
                () -> clock.millis() / EPOCH_MILLIS,
                random,
                timers.ticker(),
                tally,
                journal));
    }
}

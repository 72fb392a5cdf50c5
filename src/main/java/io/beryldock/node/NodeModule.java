package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.beryldock.admission.EntryShedder;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestIds;
import io.beryldock.configuration.ActiveConfiguration;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationException;
import io.beryldock.configuration.ConfigurationSync;
import io.beryldock.configuration.ConfigurationWriter;
import io.beryldock.forwarding.Addresses;
import io.beryldock.membership.Membership;
import io.beryldock.membership.MembershipService;
import io.beryldock.membership.MembershipSettings;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.ClockedPeerTransport;
import io.beryldock.peer.NettyPeerTransport;
import io.beryldock.peer.PeerIdentity;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.quarantine.QuarantineSettings;
import io.beryldock.retry.Backoff;
import io.beryldock.retry.RetryBudgetSettings;
import io.beryldock.retry.RetryBudgets;
import io.beryldock.retry.RetryLedger;
import io.beryldock.routing.ChooserSettings;
import io.beryldock.routing.TargetChooser;
import io.beryldock.settings.NodeSettings;
import io.beryldock.settings.SettingsException;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventRing;
import io.beryldock.timeline.EventSink;
import io.beryldock.timeline.HybridLogicalClock;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * Binds the control components of one node: membership view, configuration and decisions. {@link TrafficModule} binds
 * the request path.
 */
final class NodeModule extends AbstractModule {

    private static final int EVENT_CAPACITY = 4096;
    private static final Duration BACKOFF_BASE = Duration.ofMillis(5);
    private static final Duration BACKOFF_CAP = Duration.ofMillis(100);

    private final NodeSettings settings;
    private final NodeDescriptor self;
    private final ControlLoop control;
    private final NettyPeerTransport transport;
    private final PeerTransport peers;
    private final EventRing events;
    private final PlatformStore store;

    NodeModule(
            NodeSettings settings,
            NodeDescriptor self,
            ControlLoop control,
            NettyPeerTransport transport,
            EventRing events,
            PlatformStore store) {
        this.settings = settings;
        this.self = self;
        this.control = control;
        this.transport = transport;
        this.peers = ClockedPeerTransport.create(transport, events.clock());
        this.events = events;
        this.store = store;
    }

    static EventRing eventRing(NodeSettings settings) {
        return EventRing.create(
                NodeId.of(settings.id()),
                DataCentre.of(settings.dataCentre()),
                HybridLogicalClock.system(),
                EVENT_CAPACITY,
                randomGenerator());
    }

    static RandomGenerator randomGenerator() {
        return RandomGenerator.of("L64X128MixRandom");
    }

    static PeerIdentity identity(NodeSettings settings, Incarnation incarnation) {
        return PeerIdentity.of(NodeId.of(settings.id()), DataCentre.of(settings.dataCentre()), incarnation);
    }

    @Override
    protected void configure() {
        bind(NodeSettings.class).toInstance(settings);
        bind(NodeDescriptor.class).toInstance(self);
        bind(ControlLoop.class).toInstance(control);
        bind(TimerService.class).toInstance(control.timers());
        bind(PeerTransport.class).toInstance(peers);
        bind(NettyPeerTransport.class).toInstance(transport);
        bind(EventRing.class).toInstance(events);
        bind(EventSink.class).toInstance(events);
        bind(PlatformStore.class).toInstance(store);
        bind(RequestIds.class).toInstance(RequestIds.of(self.incarnation()));
        bind(RandomGenerator.class).toProvider(NodeModule::randomGenerator);
    }

    private ImmutableList<InetSocketAddress> seeds() {
        return settings.seeds().stream().map(Addresses::parse).collect(ImmutableList.toImmutableList());
    }

    @Provides
    @Singleton
    Membership membership(TimerService timers, RandomGenerator random) {
        Duration expiry = Duration.ofSeconds(settings.limits().announcementSeconds());
        MembershipService service = MembershipService.create(
                MembershipSettings.of(seeds()).withTargetExpiry(expiry),
                self,
                (to, body) -> peers.send(to, PeerTopic.MEMBERSHIP, body),
                timers,
                random,
                events,
                store);
        peers.registerHandler(
                PeerTopic.MEMBERSHIP,
                message -> control.execute(() -> service.onMessage(NodeId.of(message.sender()), message.body())));
        return service;
    }

    @Provides
    @Singleton
    ActiveConfiguration configuration() throws SettingsException {
        try {
            return ActiveConfiguration.create(Configuration.defaults(settings.deployment()), events);
        } catch (ConfigurationException e) {
            throw new SettingsException("deployment", "a known set of defaults", e.getMessage());
        }
    }

    @Provides
    @Singleton
    ConfigurationSync configurationSync(
            ActiveConfiguration activeConfiguration,
            Membership membership,
            TimerService timers,
            RandomGenerator random) {
        ConfigurationSync sync = ConfigurationSync.create(
                self,
                activeConfiguration,
                new ConfigurationSync.Ports(
                        store,
                        (to, body) -> peers.send(to, PeerTopic.CONFIGURATION, body),
                        membership::directory,
                        this::seeds,
                        timers,
                        control,
                        random,
                        events));
        peers.registerHandler(
                PeerTopic.CONFIGURATION,
                message -> control.execute(() -> sync.onMessage(NodeId.of(message.sender()), message.body())));
        return sync;
    }

    @Provides
    @Singleton
    ConfigurationWriter configurationWriter(
            ActiveConfiguration activeConfiguration, TimerService timers, RandomGenerator random) {
        return ConfigurationWriter.create(
                store,
                activeConfiguration,
                new ConfigurationWriter.Ports(control, timers, InstantSource.system(), random, events));
    }

    @Provides
    @Singleton
    EntryShedder entryShedder(TimerService timers, RandomGenerator random) {
        return EntryShedder.create(timers.ticker(), random, events);
    }

    @Provides
    @Singleton
    RetryLedger ledger() {
        return RetryLedger.create(events);
    }

    @Provides
    @Singleton
    RetryBudgets budgets(TimerService timers) {
        return RetryBudgets.create(timers.ticker(), service -> RetryBudgetSettings.defaults());
    }

    @Provides
    @Singleton
    Backoff backoff(RandomGenerator random) {
        return Backoff.create(random, BACKOFF_BASE, BACKOFF_CAP);
    }

    @Provides
    @Singleton
    Quarantine quarantine(TimerService timers) {
        return Quarantine.create(self, timers.ticker(), QuarantineSettings.defaults(), events);
    }

    @Provides
    @Singleton
    ChooserSettings chooserSettings() {
        return ChooserSettings.defaults();
    }

    @Provides
    @Singleton
    TargetChooser chooser(TimerService timers, RandomGenerator random, ChooserSettings settings) {
        return TargetChooser.create(self.dataCentre(), random, timers.ticker(), events, settings);
    }
}

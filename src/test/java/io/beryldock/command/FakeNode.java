package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.configuration.ActiveConfiguration;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationException;
import io.beryldock.configuration.ConfigurationSync;
import io.beryldock.configuration.ConfigurationWriter;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.peer.PeerHandler;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.timeline.EventRing;
import io.beryldock.timeline.HybridLogicalClock;
import io.beryldock.timeline.RefusalCounter;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** One node of a {@link FakeDeployment}: what it shows comes from the deployment's seed. */
final class FakeNode implements LocalTarget {

    private static final int SLOTS = 15;

    final NodeDescriptor self;
    final Map<PeerTopic, PeerHandler> handlers = new EnumMap<>(PeerTopic.class);
    final EventRing events;
    final RefusalCounter refusals;
    OperatorService operators;
    NodeInspector inspector = this::inspect;
    private final FakeDeployment deployment;
    private final Random random;
    private final ActiveConfiguration activeConfiguration;
    private TargetState state = TargetState.READY;
    private long revision;

    FakeNode(FakeDeployment deployment, String id, DataCentre dataCentre, InetSocketAddress address) {
        this.deployment = deployment;
        this.random = new Random(deployment.random.nextLong());
        this.self = new NodeDescriptor(NodeId.of(id), Incarnation.random(random), dataCentre, address);
        HybridLogicalClock clock = HybridLogicalClock.create(deployment::wall);
        this.events = EventRing.create(self.id(), dataCentre, clock, 1000, random);
        this.refusals = RefusalCounter.create(deployment.timers.ticker());
        this.activeConfiguration = ActiveConfiguration.create(defaults(), events);
    }

    void start() {
        PeerTransport transport = deployment.transport(this);
        ConfigurationSync sync = ConfigurationSync.create(
                self,
                activeConfiguration,
                new ConfigurationSync.Ports(
                        deployment.store,
                        (to, body) -> transport.send(to, PeerTopic.CONFIGURATION, body),
                        deployment::directory,
                        ImmutableList::of,
                        deployment.timers,
                        Runnable::run,
                        random,
                        events));
        transport.registerHandler(
                PeerTopic.CONFIGURATION, message -> sync.onMessage(NodeId.of(message.sender()), message.body()));
        ConfigurationWriter writer = ConfigurationWriter.create(
                deployment.store,
                activeConfiguration,
                new ConfigurationWriter.Ports(Runnable::run, deployment.timers, deployment::wall, random, events));
        operators = OperatorService.create(new OperatorPorts(
                self.id(),
                self.dataCentre(),
                deployment::directory,
                transport,
                show -> inspector.inspect(show),
                activeConfiguration,
                StoreConfigurationChanger.create(writer, activeConfiguration),
                sync::awaitInForce,
                this,
                events,
                refusals,
                deployment.timers,
                random));
        CompletableFuture<?> unused = sync.start();
    }

    TargetRecord target() {
        return new TargetRecord(self, ServiceName.of("lists"), SLOTS, state, revision);
    }

    @Override
    public String drain() {
        return become(TargetState.LEAVING, "lists takes no new work; 3 requests are in flight");
    }

    @Override
    public String undrain() {
        return become(TargetState.READY, "lists takes new work again");
    }

    private String become(TargetState next, String message) {
        state = next;
        revision++;
        deployment.publishDirectory();
        return message;
    }

    /** Rows that no other test double shows: seeded numbers, with this node's name where the topic has one. */
    CompletableFuture<QueryTable> inspect(ShowStatement show) {
        String id = self.id().value();
        String place = self.dataCentre().value();
        QueryTable.Builder table = QueryTable.builder(ShowColumns.of(show));
        switch (show.topic()) {
            case TARGETS ->
                table.row(
                        "lists",
                        id,
                        place,
                        state.name().toLowerCase(Locale.ROOT),
                        SLOTS,
                        6 + number(9),
                        number(6),
                        number(4));
            case NODES ->
                table.row(
                        id,
                        place,
                        "serving",
                        self.incarnation().toString(),
                        deployment.nodes.size(),
                        1_000L * number(90_000));
            case LEVELS -> table.row("holdings", 700 + number(300), ServiceLevel.OPEN, 1, number(2_000));
            case RETRIES -> table.row("lists", "catalogue", 1_000 + number(500), number(80), number(20));
            case TICKETS -> table.row(id, "deciding", number(5), number(3), number(400), 0, 20_000);
            case CONNECTIONS -> table.row(id, "peer", place + "-lists-9", "ready", 1, number(5), number(900));
            case QUARANTINE ->
                table.row("5d41402abc4b2a76", "lists", "GET /lists/13", 2, "refused", 60_000 + number(900));
            default -> throw new IllegalArgumentException("not asked of an inspector: " + show.topic());
        }
        return CompletableFuture.completedFuture(table.build());
    }

    private int number(int bound) {
        return random.nextInt(bound);
    }

    private static Configuration defaults() {
        try {
            return Configuration.defaults("vandermeulen");
        } catch (ConfigurationException e) {
            throw new AssertionError(e);
        }
    }
}

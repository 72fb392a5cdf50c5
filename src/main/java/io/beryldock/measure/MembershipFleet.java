package io.beryldock.measure;

import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.MembershipService;
import io.beryldock.membership.MembershipSettings;
import io.beryldock.membership.MembershipTransport;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetState;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.ManualTimerService;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * The membership of many nodes in one process, on a manual clock and a fake network, each with a target that renews its
 * announcement.
 *
 * <p>Single-threaded; the same seed gives the same run.
 */
public final class MembershipFleet {

    private static final Duration RENEWAL = Duration.ofSeconds(3);
    private static final int SLOTS = 50;
    private static final int PORT = 7100;
    private static final int INSTANCES = 9;
    private static final int BYTE = 256;
    private static final int TEN_NET = 10;

    /** Makes the membership of one node. */
    @FunctionalInterface
    public interface ServiceFactory {

        MembershipService create(
                MembershipSettings settings,
                NodeDescriptor self,
                MembershipTransport transport,
                TimerService timers,
                Random random,
                EventSink events,
                PlatformStore store);
    }

    /** One start of one node. Single-threaded. */
    public static final class FleetNode {
        private final NodeDescriptor descriptor;
        private final PausableTimers timers;
        private final ServiceName target;
        private final int centre;
        private final int number;
        private MembershipService service;
        private TargetState state = TargetState.READY;
        private boolean hung;

        private FleetNode(int centre, int number, NodeDescriptor descriptor, PausableTimers timers) {
            this.centre = centre;
            this.number = number;
            this.descriptor = descriptor;
            this.timers = timers;
            this.target = ServiceName.of("service-" + number / INSTANCES);
        }

        public NodeDescriptor descriptor() {
            return descriptor;
        }

        public MembershipService service() {
            return service;
        }

        public boolean isRunning() {
            return timers.isRunning();
        }

        /** Processor time that the membership of this node took, in nanoseconds of the real clock. */
        public long busyNanos() {
            return timers.busyNanos();
        }

        /** The service that the target announces. */
        public ServiceName target() {
            return target;
        }

        /** What the target said last. */
        public TargetState state() {
            return state;
        }
    }

    private final ManualTimerService clock = ManualTimerService.create();
    private final Random random;
    private final FakeNetwork network;
    private final InMemoryPlatformStore store;
    private final ServiceFactory factory;
    private final MembershipSettings settings;
    private final Map<InetSocketAddress, FleetNode> byAddress = new LinkedHashMap<>();
    private final Map<NodeId, FleetNode> byId = new LinkedHashMap<>();
    private final Map<Incarnation, Integer> startNumbers = new HashMap<>();
    private EventSink events = EventSink.none();

    private MembershipFleet(long seed, MembershipSettings settings, ServiceFactory factory) {
        this.random = new Random(seed);
        this.network = new FakeNetwork(clock, new Random(random.nextLong()));
        this.store = InMemoryPlatformStore.create(clock, new Random(random.nextLong()));
        this.settings = settings;
        this.factory = factory;
    }

    public static MembershipFleet create(long seed, MembershipSettings settings) {
        return create(seed, settings, MembershipService::create);
    }

    public static MembershipFleet create(long seed, MembershipSettings settings, ServiceFactory factory) {
        return new MembershipFleet(seed, settings, factory);
    }

    /** Address of a node, which its id and later starts keep. */
    public static InetSocketAddress address(int centre, int number) {
        byte[] bytes = {TEN_NET, (byte) centre, (byte) (number / BYTE), (byte) number};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), PORT);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("4 bytes are an IP number", e);
        }
    }

    public void setEvents(EventSink next) {
        events = next;
    }

    public FakeNetwork network() {
        return network;
    }

    public InMemoryPlatformStore store() {
        return store;
    }

    public long now() {
        return clock.ticker().nanos();
    }

    /** Runs the task once after the delay. */
    public void after(Duration delay, Runnable task) {
        clock.after(delay, task);
    }

    public void advance(Duration step) {
        clock.advance(step);
    }

    /** The latest start of every node, running or not. */
    public List<FleetNode> nodes() {
        return new ArrayList<>(byId.values());
    }

    /** Rises with each start of any node of the fleet. */
    public int startNumber(NodeDescriptor start) {
        return startNumbers.get(start.incarnation());
    }

    /** Whether the node was killed, has left or was replaced. */
    public static boolean isStopped(FleetNode node) {
        return node.timers.isStopped();
    }

    public List<FleetNode> running() {
        return byId.values().stream().filter(FleetNode::isRunning).toList();
    }

    /** Starts a node with a ready target; one that runs under that id is killed first. */
    public FleetNode start(int centre, int number) {
        InetSocketAddress address = address(centre, number);
        FleetNode before = byAddress.get(address);
        if (before != null) {
            before.timers.stop();
        }
        return startAt(centre, number, address);
    }

    /** Starts a node at that address, whatever runs under its id. */
    public FleetNode startAt(int centre, int number, InetSocketAddress address) {
        NodeDescriptor descriptor = new NodeDescriptor(
                NodeId.of("dc" + centre + "-node-" + number),
                Incarnation.random(random),
                DataCentre.of("dc" + centre),
                address);
        long offset = random.nextInt(Integer.MAX_VALUE) * (long) Integer.MAX_VALUE;
        FleetNode node = new FleetNode(centre, number, descriptor, PausableTimers.create(clock, offset));
        node.service = factory.create(
                settings,
                descriptor,
                (to, body) -> send(node, to, body),
                node.timers,
                new Random(random.nextLong()),
                (kind, request, subject, detail) -> events.record(kind, request, subject, detail),
                store);
        byAddress.put(descriptor.peerAddress(), node);
        byId.put(descriptor.id(), node);
        startNumbers.put(descriptor.incarnation(), startNumbers.size());
        node.timers.run(node.service::start);
        announce(node, TargetState.READY);
        node.timers.every(RENEWAL, () -> renew(node));
        return node;
    }

    /** Announces the state of the node's target, and goes on renewing it. */
    public void announce(FleetNode node, TargetState state) {
        node.state = state;
        node.timers.run(() -> renew(node));
    }

    /** Starts the node anew: the same id and address, another incarnation. */
    public FleetNode restart(FleetNode node) {
        return start(node.centre, node.number);
    }

    public void kill(FleetNode node) {
        node.timers.stop();
    }

    public void pause(FleetNode node) {
        node.timers.pause();
    }

    public void resume(FleetNode node) {
        node.timers.resume();
    }

    /** Lets the target of the node renew its announcement no more. */
    public void hangTarget(FleetNode node) {
        node.hung = true;
    }

    /** Lets the node leave as planned; it is stopped when it has said so. */
    public CompletableFuture<Void> leave(FleetNode node) {
        node.state = TargetState.LEAVING;
        return node.service.leave().thenRun(node.timers::stop);
    }

    /** Advances in small steps until every running node fulfils the condition; returns the time or the bound. */
    public Duration timeUntilAll(Predicate<FleetNode> condition, Duration bound) {
        long start = now();
        Duration step = Duration.ofMillis(10);
        while (now() - start < bound.toNanos()) {
            if (running().stream().allMatch(condition)) {
                break;
            }
            advance(step);
        }
        return Duration.ofNanos(now() - start);
    }

    private void renew(FleetNode node) {
        if (!node.hung) {
            node.service.announce(node.target, SLOTS, node.state);
        }
    }

    private void send(FleetNode from, InetSocketAddress to, ByteString body) {
        FleetNode receiver = byAddress.get(to);
        if (receiver == null) {
            return;
        }
        NodeDescriptor sender = from.descriptor();
        network.deliver(sender, receiver.descriptor(), () -> {
            FleetNode current = byAddress.get(to);
            current.timers.run(() -> current.service().onMessage(sender.id(), body));
        });
    }
}

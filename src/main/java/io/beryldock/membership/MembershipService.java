package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.platform.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.MembershipMessage;
import io.beryldock.wire.MembershipRecord;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * This node's part in membership: announces its target, learns of all others, and publishes the {@link Directory}.
 *
 * <p>Every method is called on the control thread only, but for {@link #directory()}, which any thread may call.
 * Invariant: the record of each id only rises in the order of {@link MemberRecord#isNewerThan}.
 */
public final class MembershipService {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int FANOUT = 3;
    private static final Duration LEAVING_SPREAD = Duration.ofMillis(1500);

    private final MembershipSettings settings;
    private final MembershipTransport transport;
    private final TimerService timers;
    private final RandomGenerator random;
    private final EventSink events;
    private final Map<NodeId, MemberRecord> records = new HashMap<>();
    private final List<Consumer<Directory>> listeners = new CopyOnWriteArrayList<>();
    private MemberRecord self;
    private long renewed;
    private volatile Directory directory = Directory.empty();

    private MembershipService(
            MembershipSettings settings,
            NodeDescriptor self,
            MembershipTransport transport,
            TimerService timers,
            RandomGenerator random,
            EventSink events) {
        this.settings = settings;
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.events = events;
        this.self = new MemberRecord(self, 1, 1, MemberStatus.ALIVE, Optional.empty());
    }

    /** Makes the service; it sends nothing before {@link #start()}. The store serves only to find first peers. */
    @SuppressWarnings("checkstyle:ParameterNumber")
    public static MembershipService create(
            MembershipSettings settings,
            NodeDescriptor self,
            MembershipTransport transport,
            TimerService timers,
            RandomGenerator random,
            EventSink events,
            PlatformStore store) {
        return new MembershipService(settings, self, transport, timers, random, events);
    }

    /** Starts to look for peers. */
    public void start() {
        records.put(self.node().id(), self);
        publish();
        gossip();
        timers.every(settings.probePeriod(), this::tick);
    }

    /** Takes the announcement of the target in this VM, or its renewal. */
    public void announce(ServiceName service, int slots, TargetState state) {
        renewed = timers.ticker().nanos();
        Optional<MemberRecord.AnnouncedTarget> next =
                Optional.of(new MemberRecord.AnnouncedTarget(service, slots, state));
        if (next.equals(self.target())) {
            return;
        }
        EventKind kind = state == TargetState.LEAVING ? EventKind.TARGET_LEAVING : EventKind.TARGET_ANNOUNCED;
        events.record(kind, service.value(), "target with " + slots + " slots is " + state);
        changeSelf(self.withTarget(next));
    }

    /** Takes the target back: it is gone. */
    public void withdraw() {
        if (self.target().isPresent()) {
            events.record(EventKind.TARGET_LOST, self.node().id().value(), "the target is withdrawn");
            changeSelf(self.withTarget(Optional.empty()));
        }
    }

    /** Tells all others that this node stops; completes, within a few seconds, once they have had time to hear it. */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        self.target().ifPresent(target -> announce(target.service(), target.slots(), TargetState.LEAVING));
        timers.after(LEAVING_SPREAD, () -> {
            changeSelf(self.withStatus(MemberStatus.LEFT));
            done.complete(null);
        });
        return done;
    }

    /** Takes a message of another node's membership. */
    public void onMessage(NodeId sender, ByteString body) {
        try {
            MembershipMessage message = MembershipMessage.parseFrom(body);
            boolean changed = false;
            for (MembershipRecord wire : message.getRecordsList()) {
                changed |= merge(MembershipCodec.decode(wire));
            }
            if (changed) {
                publish();
            }
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            log.atWarning().atMostEvery(1, java.util.concurrent.TimeUnit.SECONDS).withCause(e).log(
                    "dropped a membership message of %s that cannot be read", sender);
        }
    }

    /** Calls the listener with each new directory, on the control thread. */
    public TimerService.Subscription onChange(Consumer<Directory> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    /** The picture of all nodes and targets as of now. */
    public Directory directory() {
        return directory;
    }

    public MembershipSnapshot snapshot() {
        ImmutableList.Builder<MembershipSnapshot.Member> members = ImmutableList.builder();
        records.values().stream()
                .filter(member -> member.status() != MemberStatus.LEFT)
                .forEach(member -> members.add(
                        new MembershipSnapshot.Member(member.node(), Reachability.REACHABLE, member.targetRecord())));
        return new MembershipSnapshot(self.node(), members.build());
    }

    /** Says that traffic got no answer from that node, so that it is probed at once. */
    public void hintUnreachable(NodeId node) {}

    /** Says that traffic got an answer from that node. */
    public void hintAlive(NodeId node) {}

    private void tick() {
        long age = timers.ticker().nanos() - renewed;
        if (self.target().isPresent() && age > settings.targetExpiry().toNanos()) {
            withdraw();
        }
        gossip();
    }

    private void gossip() {
        MembershipMessage.Builder message = MembershipMessage.newBuilder();
        records.values().forEach(member -> message.addRecords(MembershipCodec.encode(member)));
        ByteString body = message.build().toByteString();
        receivers().forEach(to -> transport.send(to, body));
    }

    private List<InetSocketAddress> receivers() {
        List<InetSocketAddress> known = new ArrayList<>(settings.seeds());
        records.values().stream()
                .filter(member -> member.status() != MemberStatus.LEFT)
                .forEach(member -> known.add(member.node().peerAddress()));
        known.removeIf(self.node().peerAddress()::equals);
        List<InetSocketAddress> chosen = new ArrayList<>();
        for (int i = 0; i < FANOUT && !known.isEmpty(); i++) {
            chosen.add(known.remove(random.nextInt(known.size())));
        }
        return chosen;
    }

    private void changeSelf(MemberRecord next) {
        self = next;
        records.put(next.node().id(), next);
        publish();
        gossip();
    }

    private boolean merge(MemberRecord found) {
        if (found.node().id().equals(self.node().id())) {
            return false;
        }
        MemberRecord known = records.get(found.node().id());
        if (known != null && !found.isNewerThan(known)) {
            return false;
        }
        records.put(found.node().id(), found);
        return true;
    }

    private void publish() {
        List<NodeDescriptor> nodes = new ArrayList<>();
        List<TargetRecord> targets = new ArrayList<>();
        for (MemberRecord member : records.values()) {
            if (member.status() != MemberStatus.LEFT) {
                nodes.add(member.node());
                member.targetRecord().ifPresent(targets::add);
            }
        }
        directory = Directory.of(nodes, targets);
        listeners.forEach(listener -> listener.accept(directory));
    }
}

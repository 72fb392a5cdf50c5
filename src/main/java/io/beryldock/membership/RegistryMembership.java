package io.beryldock.membership;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.MemberRecord.AnnouncedTarget;
import io.beryldock.store.EntryListener;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.StoreSharing;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.MembershipRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Membership through the platform's store: each node writes its own record under a lease and follows those of all
 * others.
 *
 * <p>An entry that disappears while its node did not say that it leaves is kept for a while: the store removes entries
 * of living nodes when their leases run out in an outage, or when it turns a node away. A wrong entry costs an attempt
 * at most, as the gate of a target is its own node. Without this rule an outage of the store would empty the directory
 * and every request would be refused. Control thread only, but for {@link #directory()}.
 */
public final class RegistryMembership implements Membership {

    /** Keys of the records; what follows is the node's id. */
    static final String PREFIX = "beryldock/nodes/";

    /** How long an entry that has lapsed is kept while nobody finds its node unreachable: longer than most outages. */
    static final Duration LAPSE_HOLD = Duration.ofSeconds(20);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Nodes start and leave in groups; each one's entry need not be fetched by a call of its own. */
    private static final Duration WATCH_GATHER = Duration.ofMillis(250);

    /** A target announces itself each second or two; an entry that names it from the start is written once. */
    private static final Duration FIRST_ENTRY = Duration.ofMillis(1600);

    private static final Duration GATHER = Duration.ofMillis(20);
    private static final Duration TICK = Duration.ofSeconds(1);
    private static final Duration LEAVE_LIMIT = Duration.ofSeconds(1);

    private final NodeDescriptor self;
    private final TimerService timers;
    private final EventSink events;
    private final StoreSharing sharing;
    private final RegistryRecord own;
    private final MembershipCodec codec = MembershipCodec.create();
    private final Map<String, Known> known = new HashMap<>();

    /** Starts of nodes that have left, and when this node heard of it. */
    private final Map<Incarnation, Long> departed = new HashMap<>();

    private final DirectoryFeed feed;
    private boolean storeDown;

    private RegistryMembership(NodeDescriptor self, RegistryPorts ports) {
        this.self = self;
        this.timers = ports.timers();
        this.events = ports.events();
        this.sharing = ports.sharing();
        this.feed = new DirectoryFeed(ports.timers(), GATHER, this::make);
        this.own = new RegistryRecord(PREFIX + self.id().value(), MemberRecord.ofStart(self), ports);
    }

    /** Makes the membership; it calls nobody before {@link #start()}. */
    public static RegistryMembership create(NodeDescriptor self, RegistryPorts ports) {
        return new RegistryMembership(self, ports);
    }

    /** A record as last read, and since when its entry is gone from the store; empty while it is there. */
    private record Known(MemberRecord record, Optional<Long> lapsedAt) {}

    @Override
    public void start() {
        timers.after(FIRST_ENTRY, own::publish);
        sharing.follow(PREFIX, WATCH_GATHER, new RecordListener());
        timers.every(TICK, this::tick);
        feed.publishSoon();
    }

    @Override
    public void announce(ServiceName service, int slots, TargetState state) {
        if (own.announce(Optional.of(new AnnouncedTarget(service, slots, state)))) {
            EventKind kind = state == TargetState.LEAVING ? EventKind.TARGET_LEAVING : EventKind.TARGET_ANNOUNCED;
            events.record(kind, service.value(), "target with " + slots + " slots is " + state);
            feed.publishSoon();
        }
    }

    @Override
    public void withdraw() {
        if (own.announce(Optional.empty())) {
            events.record(EventKind.TARGET_LOST, self.id().value(), "the target is withdrawn");
            feed.publishSoon();
        }
    }

    @Override
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        own.leave().whenComplete((ended, failure) -> done.complete(null));
        timers.after(LEAVE_LIMIT, () -> done.complete(null));
        return done;
    }

    @Override
    public TimerService.Subscription onChange(Consumer<Directory> listener) {
        return feed.subscribe(listener);
    }

    @Override
    public Directory directory() {
        return feed.directory();
    }

    /** An entry that has lapsed and whose node does not answer either is that of a node which is gone. */
    @Override
    public void hintUnreachable(NodeId node) {
        String key = PREFIX + node.value();
        Known entry = known.get(key);
        if (entry != null && entry.lapsedAt().isPresent()) {
            forget(key);
        }
    }

    @Override
    public boolean isCutOff() {
        return storeDown;
    }

    private void tick() {
        own.renew();
        long now = timers.ticker().nanos();
        List<String> expired = known.entrySet().stream()
                .filter(entry -> entry.getValue()
                        .lapsedAt()
                        .filter(since -> now - since > LAPSE_HOLD.toNanos())
                        .isPresent())
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::forget);
        departed.values().removeIf(since -> now - since > LAPSE_HOLD.toNanos());
    }

    private void forget(String key) {
        if (known.remove(key) != null) {
            feed.publishSoon();
        }
    }

    private Directory make() {
        List<NodeDescriptor> nodes = new ArrayList<>();
        List<TargetRecord> targets = new ArrayList<>();
        add(own.record(), nodes, targets);
        known.values().forEach(entry -> add(entry.record(), nodes, targets));
        return Directory.of(nodes, targets);
    }

    private static void add(MemberRecord record, List<NodeDescriptor> nodes, List<TargetRecord> targets) {
        nodes.add(record.node());
        record.targetRecord().ifPresent(targets::add);
    }

    private void take(String key, MemberRecord record) {
        Incarnation start = record.node().incarnation();
        if (record.hasLeft()) {
            departed.put(start, timers.ticker().nanos());
            forget(key);
            return;
        }
        if (departed.containsKey(start)) {
            return;
        }
        // A VM's address may be used again by another node; the entry of the earlier one is then surely old.
        known.entrySet()
                .removeIf(entry -> !entry.getKey().equals(key)
                        && entry.getValue()
                                .record()
                                .node()
                                .peerAddress()
                                .equals(record.node().peerAddress()));
        known.put(key, new Known(newest(key, record), Optional.empty()));
        feed.publishSoon();
    }

    /** The store may come back from a copy that holds an older record than the one known; its node writes it again. */
    private MemberRecord newest(String key, MemberRecord found) {
        Known entry = known.get(key);
        return entry != null && entry.record().isNewerThan(found) ? entry.record() : found;
    }

    private void lapse(String key) {
        Known entry = known.get(key);
        if (entry != null && entry.lapsedAt().isEmpty()) {
            known.put(key, new Known(entry.record(), Optional.of(timers.ticker().nanos())));
        }
    }

    /** Takes in what the store tells. */
    private final class RecordListener implements EntryListener {

        @Override
        public boolean onEntry(Entry entry) {
            if (entry.key().equals(own.key())) {
                entry.value().ifPresentOrElse(own::onEntry, own::onRemoved);
                return true;
            }
            if (entry.value().isEmpty()) {
                lapse(entry.key());
                return true;
            }
            Optional<MemberRecord> record = decode(entry);
            record.ifPresent(found -> take(entry.key(), found));
            return record.isPresent();
        }

        private Optional<MemberRecord> decode(Entry entry) {
            try {
                MemberRecord record =
                        codec.decode(MembershipRecord.parseFrom(entry.value().orElseThrow()));
                checkOrigin(entry.key(), record);
                return Optional.of(record);
            } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
                log.atWarning().withCause(e).log("the entry %s is no record of a node and is passed over", entry.key());
                return Optional.empty();
            }
        }

        /**
         * Guards against an entry that another program wrote or spoiled: taken in, it would send requests of a service
         * to a node that has no such target, or push a sound node out of the directory.
         */
        private void checkOrigin(String key, MemberRecord record) {
            boolean ownKey = key.equals(PREFIX + record.id().value());
            boolean reachable = record.node().peerAddress().getPort() > 0;
            boolean slots = record.target().map(AnnouncedTarget::slots).orElse(1) > 0;
            if (!ownKey || !reachable || !slots) {
                throw new IllegalArgumentException("its id, port or slots can't be those of the node of that key");
            }
        }

        @Override
        public void onStore(boolean reachable) {
            if (reachable == storeDown) {
                events.record(
                        reachable ? EventKind.STORE_BACK : EventKind.STORE_DOWN,
                        PREFIX,
                        reachable ? "entries are followed again" : "the directory stays as it was last known");
            }
            storeDown = !reachable;
        }
    }
}

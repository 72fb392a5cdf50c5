package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
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
 * Membership based on the platform's store: each node writes its own record under a lease and watches the records of
 * all other nodes.
 *
 * <p>An entry that disappears without a departure of its node is retained for some time, because the store removes
 * entries of running nodes when their leases expire during an outage or when it rejects a node. Without this retention,
 * an outage of the store would empty the directory and every request would be refused. A stale entry costs at most a
 * failed attempt, because each request is admitted by the node of its target. Confined to the control thread, except
 * for {@link #directory()}.
 */
public final class RegistryMembership implements Membership, TargetDepartures {

    /** Prefix of the keys of the records; the rest of the key is the node's id. */
    static final String PREFIX = "beryldock/nodes/";

    /**
     * How long a lapsed entry is retained while its node has not been found unreachable; exceeds the duration of most
     * outages.
     */
    static final Duration LAPSED_ENTRY_RETENTION = Duration.ofSeconds(20);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Nodes start and leave in groups; this delay lets one call fetch the entries of a group. */
    private static final Duration WATCH_BATCH_DELAY = Duration.ofMillis(250);

    /** Age of the last check of the records above which this node asks the store itself. */
    private static final Duration MAX_AGE = Duration.ofSeconds(20);

    /**
     * A target announces itself every one to two seconds; this delay lets the first entry include the target, so that
     * it is written once.
     */
    private static final Duration FIRST_WRITE_DELAY = Duration.ofMillis(1600);

    private static final Duration PUBLISH_DELAY = Duration.ofMillis(20);
    private static final Duration TICK_PERIOD = Duration.ofSeconds(1);
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(1);

    private final NodeDescriptor self;
    private final TimerService timers;
    private final EventSink events;
    private final StoreSharing sharing;
    private final RegistryRecord own;
    private final MembershipCodec codec = MembershipCodec.create();
    private final Map<String, KnownNode> knownNodes = new HashMap<>();

    /** Incarnations that have left, with the monotonic time at which this node received the departure. */
    private final Map<Incarnation, Long> departed = new HashMap<>();

    private final DirectoryFeed feed;
    private boolean storeDown;

    private RegistryMembership(NodeDescriptor self, RegistryPorts ports) {
        this.self = self;
        this.timers = ports.timers();
        this.events = ports.events();
        this.sharing = ports.sharing();
        this.feed = new DirectoryFeed(ports.timers(), PUBLISH_DELAY, this::buildDirectory);
        this.own = new RegistryRecord(MemberRecord.initial(self), ports);
    }

    /** Creates the membership, which makes no calls before {@link #start()}. */
    public static RegistryMembership create(NodeDescriptor self, RegistryPorts ports) {
        return new RegistryMembership(self, ports);
    }

    /**
     * The last record read of a node, and the monotonic time at which its entry disappeared from the store; empty while
     * the entry exists.
     */
    private record KnownNode(MemberRecord record, Optional<Long> lapsedAt) {}

    @Override
    public void start() {
        own.recall();
        timers.after(FIRST_WRITE_DELAY, own::publish);
        sharing.follow(PREFIX, WATCH_BATCH_DELAY, MAX_AGE, new RecordEntryListener());
        timers.every(TICK_PERIOD, this::tick);
        feed.schedulePublish();
    }

    @Override
    public void announce(ServiceName service, int slots, TargetState state) {
        if (own.announce(Optional.of(new AnnouncedTarget(service, slots, state)))) {
            EventKind kind = state == TargetState.LEAVING ? EventKind.TARGET_LEAVING : EventKind.TARGET_ANNOUNCED;
            events.record(kind, service.value(), "target with " + slots + " slots is " + state);
            feed.schedulePublish();
        }
    }

    @Override
    public void withdraw() {
        if (own.announce(Optional.empty())) {
            events.record(EventKind.TARGET_LOST, self.id().value(), "the target is withdrawn");
            feed.schedulePublish();
        }
    }

    @Override
    public CompletableFuture<Void> add(DepartedStart start) {
        return own.addDeparture(start);
    }

    @Override
    public void readEarlier(Consumer<ImmutableList<DepartedStart>> reader) {
        own.readEarlierDepartures(reader);
    }

    @Override
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        own.leave().thenRun(() -> done.complete(null));
        timers.after(LEAVE_TIMEOUT, () -> done.complete(null));
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

    /** Removes the node if its entry has lapsed: a node without an entry that does not answer is assumed to be gone. */
    @Override
    public void hintUnreachable(NodeId node) {
        String key = PREFIX + node.value();
        KnownNode entry = knownNodes.get(key);
        if (entry != null && entry.lapsedAt().isPresent()) {
            remove(key);
        }
    }

    @Override
    public boolean isCutOff() {
        return storeDown;
    }

    private void tick() {
        own.renew();
        long now = timers.ticker().nanos();
        List<String> expired = knownNodes.entrySet().stream()
                .filter(entry -> entry.getValue()
                        .lapsedAt()
                        .filter(since -> now - since > LAPSED_ENTRY_RETENTION.toNanos())
                        .isPresent())
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::remove);
        departed.values().removeIf(since -> now - since > LAPSED_ENTRY_RETENTION.toNanos());
    }

    private void remove(String key) {
        if (knownNodes.remove(key) != null) {
            feed.schedulePublish();
        }
    }

    private Directory buildDirectory() {
        List<NodeDescriptor> nodes = new ArrayList<>();
        List<TargetRecord> targets = new ArrayList<>();
        add(own.record(), nodes, targets);
        knownNodes.values().forEach(entry -> add(entry.record(), nodes, targets));
        return Directory.of(nodes, targets);
    }

    private static void add(MemberRecord record, List<NodeDescriptor> nodes, List<TargetRecord> targets) {
        nodes.add(record.node());
        record.targetRecord().ifPresent(targets::add);
    }

    private void apply(String key, MemberRecord record) {
        Incarnation incarnation = record.node().incarnation();
        if (record.hasLeft()) {
            departed.put(incarnation, timers.ticker().nanos());
            remove(key);
            return;
        }
        if (departed.containsKey(incarnation)) {
            return;
        }
        // The address of a VM may be reassigned to another node; the entry of the previous node at that address is then
        // stale.
        knownNodes
                .entrySet()
                .removeIf(entry -> !entry.getKey().equals(key)
                        && entry.getValue()
                                .record()
                                .node()
                                .peerAddress()
                                .equals(record.node().peerAddress()));
        knownNodes.put(key, new KnownNode(newest(key, record), Optional.empty()));
        feed.schedulePublish();
    }

    /**
     * Returns the newer of the given record and the known one: the store may be restored from a copy with an older
     * record, which its node then writes again.
     */
    private MemberRecord newest(String key, MemberRecord found) {
        KnownNode entry = knownNodes.get(key);
        return entry != null && entry.record().isNewerThan(found) ? entry.record() : found;
    }

    private void markLapsed(String key) {
        KnownNode entry = knownNodes.get(key);
        if (entry != null && entry.lapsedAt().isEmpty()) {
            knownNodes.put(
                    key,
                    new KnownNode(entry.record(), Optional.of(timers.ticker().nanos())));
        }
    }

    /** Applies the entries received from the store. */
    private final class RecordEntryListener implements EntryListener {

        @Override
        public boolean onEntry(Entry entry) {
            if (entry.key().equals(own.key())) {
                own.onChange(entry);
                return true;
            }
            if (entry.value().isEmpty()) {
                markLapsed(entry.key());
                return true;
            }
            Optional<MemberRecord> record = decode(entry);
            record.ifPresent(found -> apply(entry.key(), found));
            return record.isPresent();
        }

        private Optional<MemberRecord> decode(Entry entry) {
            try {
                MemberRecord record =
                        codec.decode(MembershipRecord.parseFrom(entry.value().orElseThrow()));
                checkOrigin(entry.key(), record);
                return Optional.of(record);
            } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
                log.atWarning().withCause(e).log("ignoring entry %s: not a valid node record", entry.key());
                return Optional.empty();
            }
        }

        /**
         * Rejects an entry that another program wrote or corrupted: accepting it would send requests of a service to a
         * node without such a target, or remove a healthy node from the directory.
         */
        private void checkOrigin(String key, MemberRecord record) {
            boolean ownKey = key.equals(PREFIX + record.id().value());
            boolean reachable = record.node().peerAddress().getPort() > 0;
            boolean slots = record.target().map(AnnouncedTarget::slots).orElse(1) > 0;
            if (!ownKey || !reachable || !slots) {
                throw new IllegalArgumentException("node id does not match the key, or port or slots are not positive");
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

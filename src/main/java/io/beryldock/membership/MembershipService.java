package io.beryldock.membership;

import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.MemberRecord.AnnouncedTarget;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Gossip-based membership of this node: announces its target, receives the records of all other nodes, and publishes
 * the {@link Directory}.
 *
 * <p>All methods are called on the control thread, except {@link #directory()}, which is thread-safe. The platform
 * store is read to find the first peers, and at long intervals by one node per data centre, but never for heartbeats.
 * The invariants are those of {@link MembershipView} and {@link SelfRecord}.
 */
public final class MembershipService implements Membership {

    /** A gap between two ticks that is at least this long counts as a pause of this process or VM. */
    static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(2);

    /** Time within which a change reaches every node, including a safety margin. */
    static final Duration PROPAGATION_TIME = Duration.ofMillis(1500);

    private static final Duration TICK_PERIOD = Duration.ofMillis(250);
    private static final Duration DEPARTURE_REPEAT_DELAY = Duration.ofMillis(300);

    private final MembershipAssembly assembly;
    private final MembershipContext context;
    private long lastTick;
    private long lastRenewal;
    private long leavingSince;
    private boolean stopped;
    private TimerService.Subscription ticks = () -> {};

    private MembershipService(MembershipAssembly assembly) {
        this.assembly = assembly;
        this.context = assembly.context();
        this.lastTick = context.now();
    }

    /** Creates the service, which sends no messages before {@link #start()}. */
    public static MembershipService create(
            MembershipSettings settings,
            NodeDescriptor self,
            MembershipTransport transport,
            TimerService timers,
            RandomGenerator random,
            EventSink events,
            PlatformStore store) {
        return create(settings, self, transport, timers, random, events, store, MergeRules.standard());
    }

    static MembershipService create(
            MembershipSettings settings,
            NodeDescriptor self,
            MembershipTransport transport,
            TimerService timers,
            RandomGenerator random,
            EventSink events,
            PlatformStore store,
            MergeRules rules) {
        SelfRecord own = SelfRecord.of(self, rules);
        MembershipView view = MembershipView.create(rules);
        MessageSender sender = MessageSender.create(transport, own, view);
        Prober prober = Prober.create(own, view, sender, timers.ticker(), settings.probeTimeout());
        MembershipContext context = new MembershipContext(
                settings,
                own,
                view,
                Neighbourhood.create(settings.probePeriod()),
                sender,
                prober,
                new JoiningNodes(timers.ticker()),
                timers,
                random,
                events);
        return new MembershipService(MembershipAssembly.create(context, store));
    }

    /** Starts the search for peers. */
    @Override
    public void start() {
        lastTick = context.now();
        assembly.merger().accept(context.self().current());
        assembly.finder().start();
        assembly.seedRecordMaintainer().start();
        assembly.publisher().publish();
        tick();
        ticks = context.timers().every(TICK_PERIOD, this::tick);
    }

    /** Announces the target in this VM, or renews its announcement. */
    @Override
    public void announce(ServiceName service, int slots, TargetState state) {
        lastRenewal = context.now();
        Optional<AnnouncedTarget> next = Optional.of(new AnnouncedTarget(service, slots, state));
        if (stopped || !context.self().announce(next)) {
            return;
        }
        boolean leaving = state == TargetState.LEAVING;
        leavingSince = leaving ? context.now() : leavingSince;
        EventKind kind = leaving ? EventKind.TARGET_LEAVING : EventKind.TARGET_ANNOUNCED;
        context.events().record(kind, service.value(), "target with " + slots + " slots is " + state);
        publishSelf();
    }

    /** Withdraws the announcement of a target that is gone. */
    @Override
    public void withdraw() {
        if (!stopped && context.self().announce(Optional.empty())) {
            context.events().record(EventKind.TARGET_LOST, context.id().value(), "the target is withdrawn");
            publishSelf();
        }
    }

    /**
     * Announces to all other nodes that this node is stopping, and stops membership.
     *
     * <p>The target is first announced as leaving, and {@link #PROPAGATION_TIME} is allowed for that announcement, so
     * that no node sends it further requests; then the node is announced as having left. The future completes within 3
     * s, even if no other node receives the announcements.
     */
    @Override
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Optional<AnnouncedTarget> target = context.self().current().target();
        target.ifPresent(known -> announce(known.service(), known.slots(), TargetState.LEAVING));
        Duration elapsed = target.isPresent() ? Duration.ofNanos(context.now() - leavingSince) : PROPAGATION_TIME;
        Duration wait = PROPAGATION_TIME.minus(elapsed);
        context.timers().after(wait.isNegative() ? Duration.ZERO : wait, () -> announceDeparture(done));
        return done;
    }

    /** Handles a membership message of another node. */
    public void onMessage(NodeId sender, ByteString body) {
        if (!isActive()) {
            return;
        }
        detectPause();
        assembly.receiver().onMessage(sender, body);
    }

    /** Registers a listener that is called on the control thread with each new directory. */
    @Override
    public TimerService.Subscription onChange(Consumer<Directory> listener) {
        return assembly.publisher().subscribe(listener);
    }

    /** Returns the current directory. */
    @Override
    public Directory directory() {
        return assembly.publisher().directory();
    }

    /** Returns the state of all nodes as known to this node, including nodes that failed in the last minutes. */
    public MembershipSnapshot snapshot() {
        return assembly.snapshot();
    }

    @Override
    public boolean isCutOff() {
        return snapshot().massLoss();
    }

    /** Returns the cost of membership to this node so far. */
    public MembershipStatistics statistics() {
        return assembly.statistics();
    }

    /** Reports that the node did not answer a traffic request, so that it is probed immediately. */
    @Override
    public void hintUnreachable(NodeId node) {
        if (isActive()) {
            assembly.detector().hintUnreachable(node);
        }
    }

    /** Reports that the node answered a traffic request, so that it can refute a suspicion immediately. */
    public void hintAlive(NodeId node) {
        if (isActive()) {
            assembly.detector().hintAlive(node);
        }
    }

    private boolean isActive() {
        return !stopped && !context.self().isSuperseded();
    }

    private void tick() {
        if (!isActive()) {
            return;
        }
        detectPause();
        long now = context.now();
        lastTick = now;
        boolean expired = now - lastRenewal > context.settings().targetExpiry().toNanos();
        if (expired && context.self().current().target().isPresent()) {
            withdraw();
        }
        assembly.tick(now);
    }

    /**
     * Detects a pause of this process and restarts all timing that depends on messages from other nodes.
     *
     * <p>Without this detection, a VM that resumes after a minute would attribute the missing answers to its neighbours
     * and suspect them, withdraw its target because the renewals could not arrive, and leave traffic with a stale view.
     * The gap is detected at the first tick or message after the pause, before either is processed.
     */
    private void detectPause() {
        long now = context.now();
        Duration gap = Duration.ofNanos(now - lastTick);
        if (gap.compareTo(PAUSE_THRESHOLD) < 0) {
            return;
        }
        lastTick = now;
        lastRenewal = now;
        context.events()
                .record(
                        EventKind.NODE_RESUMED_AFTER_PAUSE,
                        context.id().value(),
                        "paused for " + gap.toMillis() + " ms: the view is fetched anew");
        assembly.resume(gap);
    }

    private void publishSelf() {
        assembly.merger().accept(context.self().current());
        assembly.publisher().publish();
    }

    private void announceDeparture(CompletableFuture<Void> done) {
        context.self().leave();
        publishSelf();
        assembly.spreader().flush();
        context.timers().after(DEPARTURE_REPEAT_DELAY, () -> repeatDeparture(done));
    }

    /**
     * Sends the departure a second time: a message may be lost, and this node will not be running to repair the loss.
     */
    private void repeatDeparture(CompletableFuture<Void> done) {
        assembly.spreader().spread(context.id(), Optional.empty());
        assembly.spreader().flush();
        stopped = true;
        ticks.cancel();
        context.timers().after(DEPARTURE_REPEAT_DELAY, () -> done.complete(null));
    }
}

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
 * This node's part in membership: announces its target, learns of all others, and publishes the {@link Directory}.
 *
 * <p>Every method is called on the control thread only, but for {@link #directory()}, which any thread may call. The
 * platform store is read to find first peers and by one node a data centre now and then, never for a heartbeat.
 * Invariants are those of {@link MembershipView} and {@link SelfRecord}.
 */
public final class MembershipService implements Membership {

    /** A gap between two ticks that is longer than that was a pause of this process or VM. */
    static final Duration PAUSE = Duration.ofSeconds(2);

    /** Time that a change needs to reach every node, with room to spare. */
    static final Duration SPREADING = Duration.ofMillis(1500);

    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration REPEAT = Duration.ofMillis(300);

    private final MembershipAssembly parts;
    private final MembershipContext context;
    private long lastTick;
    private long renewed;
    private long leavingSince;
    private boolean stopped;
    private TimerService.Subscription ticks = () -> {};

    private MembershipService(MembershipAssembly parts) {
        this.parts = parts;
        this.context = parts.context();
        this.lastTick = context.now();
    }

    /** Makes the service; it sends nothing before {@link #start()}. */
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
                new Guests(timers.ticker()),
                timers,
                random,
                events);
        return new MembershipService(MembershipAssembly.create(context, store));
    }

    /** Starts to look for peers. */
    @Override
    public void start() {
        lastTick = context.now();
        parts.intake().accept(context.self().current());
        parts.finder().start();
        parts.keeper().start();
        parts.publisher().publish();
        tick();
        ticks = context.timers().every(TICK, this::tick);
    }

    /** Takes the announcement of the target in this VM, or its renewal. */
    @Override
    public void announce(ServiceName service, int slots, TargetState state) {
        renewed = context.now();
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

    /** Takes the target back: it is gone. */
    @Override
    public void withdraw() {
        if (!stopped && context.self().announce(Optional.empty())) {
            context.events().record(EventKind.TARGET_LOST, context.id().value(), "the target is withdrawn");
            publishSelf();
        }
    }

    /**
     * Tells all others that this node stops, and stops.
     *
     * <p>First the target is announced as leaving and the news given {@link #SPREADING}, so that nobody sends it work
     * any more; then the node is announced as gone. Completes within 3 s, whether or not anybody hears.
     */
    @Override
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Optional<AnnouncedTarget> target = context.self().current().target();
        target.ifPresent(known -> announce(known.service(), known.slots(), TargetState.LEAVING));
        Duration told = target.isPresent() ? Duration.ofNanos(context.now() - leavingSince) : SPREADING;
        Duration wait = SPREADING.minus(told);
        context.timers().after(wait.isNegative() ? Duration.ZERO : wait, () -> depart(done));
        return done;
    }

    /** Takes a message of another node's membership. */
    public void onMessage(NodeId sender, ByteString body) {
        if (!isActive()) {
            return;
        }
        noticePause();
        parts.receiver().onMessage(sender, body);
    }

    /** Calls the listener with each new directory, on the control thread. */
    @Override
    public TimerService.Subscription onChange(Consumer<Directory> listener) {
        return parts.publisher().subscribe(listener);
    }

    /** The picture of all nodes and targets as of now. */
    @Override
    public Directory directory() {
        return parts.publisher().directory();
    }

    /** What this node knows of all nodes, the failed ones of the last minutes too. */
    public MembershipSnapshot snapshot() {
        return parts.snapshot();
    }

    @Override
    public boolean isCutOff() {
        return snapshot().massLoss();
    }

    /** What membership has cost this node so far. */
    public MembershipStatistics statistics() {
        return parts.statistics();
    }

    /** Says that traffic got no answer from that node, so that it is probed at once. */
    @Override
    public void hintUnreachable(NodeId node) {
        if (isActive()) {
            parts.detector().hintUnreachable(node);
        }
    }

    /** Says that traffic got an answer from that node, so that it may deny a suspicion at once. */
    public void hintAlive(NodeId node) {
        if (isActive()) {
            parts.detector().hintAlive(node);
        }
    }

    private boolean isActive() {
        return !stopped && !context.self().isSuperseded();
    }

    private void tick() {
        if (!isActive()) {
            return;
        }
        noticePause();
        long now = context.now();
        lastTick = now;
        boolean expired = now - renewed > context.settings().targetExpiry().toNanos();
        if (expired && context.self().current().target().isPresent()) {
            withdraw();
        }
        parts.tick(now);
    }

    /**
     * Notices that this process was paused.
     *
     * <p>Without it a VM that wakes after a minute takes the silence of that minute for the silence of others, accuses
     * its neighbours, withdraws its target whose renewals it could not hear, and lets traffic act on an old view. The
     * gap shows at the first tick or message after the pause, before either is acted on.
     */
    private void noticePause() {
        long now = context.now();
        Duration gap = Duration.ofNanos(now - lastTick);
        if (gap.compareTo(PAUSE) < 0) {
            return;
        }
        lastTick = now;
        renewed = now;
        context.events()
                .record(
                        EventKind.NODE_RESUMED_AFTER_PAUSE,
                        context.id().value(),
                        "paused for " + gap.toMillis() + " ms: the view is fetched anew");
        parts.resume(gap);
    }

    private void publishSelf() {
        parts.intake().accept(context.self().current());
        parts.publisher().publish();
    }

    private void depart(CompletableFuture<Void> done) {
        context.self().leave();
        publishSelf();
        parts.spreader().flush();
        context.timers().after(REPEAT, () -> repeatDeparture(done));
    }

    /** Says it once more: a message may be lost, and this node will not be there to mend it. */
    private void repeatDeparture(CompletableFuture<Void> done) {
        parts.spreader().spread(context.id(), Optional.empty());
        parts.spreader().flush();
        stopped = true;
        ticks.cancel();
        context.timers().after(REPEAT, () -> done.complete(null));
    }
}

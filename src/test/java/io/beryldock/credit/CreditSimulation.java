package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.admission.Completion;
import io.beryldock.admission.EntryShedder;
import io.beryldock.admission.GateListener;
import io.beryldock.admission.GateRequest;
import io.beryldock.admission.GateSettings;
import io.beryldock.admission.Permit;
import io.beryldock.admission.TargetGate;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TreeCost;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Simulates entry nodes of four data centres. Each tree makes eight calls, two levels below its root, to a service with
 * one gate per data centre. Not thread safe.
 */
final class CreditSimulation {

    static final int CENTRES = 4;
    static final int ENTRIES = 20;
    static final int SLOTS = 148;
    static final int CALLS = 8;
    static final double CALL_NANOS = 66e6;

    /** Trees per second that the gates can serve. */
    static final double CAPACITY = CENTRES * SLOTS / (CALLS * CALL_NANOS / 1e9);

    private static final TreeKey TREE = new TreeKey("browse", ServiceName.of("catalogue"));
    private static final Claimant CLAIMANT = new Claimant(1, Optional.empty());
    private static final Duration TICK = Duration.ofMillis(5);
    private static final long WAIT_LIMIT = Duration.ofMillis(500).toNanos();
    private static final long CALL_LIMIT = Duration.ofMillis(700).toNanos();

    private final ManualTimerService timers = ManualTimerService.create();
    private final Random random;
    private final CreditFleet fleet;
    private final List<TargetGate> gates = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Tree> started = new ArrayList<>();
    private final RequestIds ids;
    private double busyNanos;
    private int minUpperMillis = 40;
    private int spreadMillis = 1;

    CreditSimulation(boolean credits, long seed) {
        this.random = new Random(seed);
        this.ids = RequestIds.of(new Incarnation(1, 1));
        this.fleet = new CreditFleet(timers, credits);
        for (int centre = 0; centre < CENTRES; centre++) {
            TargetGate gate = TargetGate.create(
                    GateSettings.ofAnnouncedSlots().withAnnouncedSlots(SLOTS),
                    timers,
                    random,
                    EventSink.none(),
                    CreditFleet.SCARCE);
            gates.add(gate);
            fleet.add(gateNode(centre), () -> Optional.of(new GateLoad(CreditFleet.SCARCE, gate.load())));
        }
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry(NodeId.of("c" + i % CENTRES + "-e" + i)));
        }
    }

    /** Sets the range of the time that the upper levels of a tree take until the tree calls the scarce service. */
    void setUpperLevelTime(int minMillis, int maxMillis) {
        minUpperMillis = minMillis;
        spreadMillis = maxMillis - minMillis;
    }

    CreditFleet fleet() {
        return fleet;
    }

    /** A tree that was started. */
    final class Tree {
        private final Entry entry;
        private final long at = now();
        private final long asked;
        private final boolean covered;
        private int left = CALLS;
        private double used;
        private boolean failed;

        Tree(Entry entry, long asked, boolean covered) {
            this.entry = entry;
            this.asked = asked;
            this.covered = covered;
        }

        long at() {
            return at;
        }

        long waitedNanos() {
            return at - asked;
        }

        boolean covered() {
            return covered;
        }

        boolean failed() {
            return failed;
        }

        double usedNanos() {
            return used;
        }

        void sendCalls() {
            for (int i = 0; i < CALLS / 2; i++) {
                call(this);
            }
        }

        void onCallEnd(TargetGate gate, boolean ok) {
            failed |= !ok;
            left--;
            entry.node.entryCredits().observe(levels(gate));
            if (left == CALLS / 2 && !failed) {
                sendCalls();
            } else if (left == 0 || left == CALLS / 2) {
                entry.ended(this, gate);
            }
        }
    }

    private static ImmutableList<ServiceLevel> levels(TargetGate gate) {
        return ImmutableList.of(new ServiceLevel(CreditFleet.SCARCE, gate.level()));
    }

    /** One entry node; its requests wait for credits or are admitted by levels. */
    private final class Entry {
        private final NodeId id;
        private final CreditNode node;
        private final EntryShedder shedder = EntryShedder.create(timers.ticker(), random, EventSink.none());
        private final Deque<Long> waiting = new ArrayDeque<>();
        private boolean lost;

        Entry(NodeId id) {
            this.id = id;
            this.node = fleet.add(id, Optional::empty);
            node.entryCredits().onCredits(this::serve);
        }

        void request() {
            if (node.entryCredits().requiresCredits(TREE)) {
                node.entryCredits().recordDemand(TREE, CLAIMANT);
            }
            waiting.add(now());
            serve();
        }

        private void serve() {
            waiting.removeIf(at -> lost || now() - at > WAIT_LIMIT);
            while (!waiting.isEmpty()) {
                if (!node.entryCredits().requiresCredits(TREE)) {
                    long asked = waiting.remove();
                    if (shedder.decide(TREE.service(), 1, random.nextInt()).admitted()) {
                        start(new Tree(this, asked, false));
                    }
                } else if (node.entryCredits().take(TREE, CLAIMANT)) {
                    start(new Tree(this, waiting.remove(), true));
                } else {
                    return;
                }
            }
        }

        private void ended(Tree tree, TargetGate gate) {
            shedder.observe(TREE.service(), 1, levels(gate));
            TreeCost below = new TreeCost(
                    ImmutableList.of(new TreeCost.ServiceCost(CreditFleet.SCARCE, CALLS, (long) tree.used)));
            node.entryCredits()
                    .recordTreeCost(TREE, below.plus(TreeCost.ofCall(TREE.service(), now() - tree.at)), !tree.failed);
        }
    }

    private void start(Tree tree) {
        started.add(tree);
        timers.after(Duration.ofMillis(minUpperMillis + random.nextInt(spreadMillis)), tree::sendCalls);
    }

    private void call(Tree tree) {
        int centre = lessLoaded(random.nextInt(CENTRES), random.nextInt(CENTRES));
        TargetGate gate = gates.get(centre);
        RequestId id = ids.next();
        gate.submit(new GateRequest(id, 1, random.nextInt(), 0, CALL_LIMIT), new GateListener() {
            @Override
            public void admitted(Permit permit) {
                double nanos = CALL_NANOS * (0.5 + random.nextDouble());
                timers.after(Duration.ofNanos((long) nanos), () -> {
                    permit.release(Completion.SUCCEEDED);
                    busyNanos += nanos;
                    tree.used += nanos;
                    end(true);
                });
            }

            @Override
            public void refused(Reason reason, long retryAfterMillis) {
                end(false);
            }

            private void end(boolean ok) {
                reporter(centre).onLoad(gate.load());
                tree.onCallEnd(gate, ok);
            }
        });
    }

    private static NodeId gateNode(int centre) {
        return NodeId.of("c" + centre + "-gate");
    }

    private int lessLoaded(int one, int other) {
        return gates.get(one).load().freeSlots() >= gates.get(other).load().freeSlots() ? one : other;
    }

    private GateReporter reporter(int centre) {
        return fleet.node(gateNode(centre)).reporter();
    }

    long now() {
        return timers.ticker().nanos();
    }

    /** Runs the simulation with a request rate of {@code times} the capacity. */
    void run(Duration length, double times) {
        long left = entries.stream().filter(entry -> !entry.lost).count();
        double perEntryTick = times * CAPACITY / left * TICK.toNanos() / 1e9;
        for (long passed = 0; passed < length.toMillis(); passed += TICK.toMillis()) {
            for (Entry entry : entries) {
                if (!entry.lost && random.nextDouble() < perEntryTick) {
                    entry.request();
                }
            }
            timers.advance(TICK);
        }
    }

    /** Removes entry nodes: they accept no more requests, and the credits that they hold are lost. */
    void loseEntries(Predicate<NodeId> lost) {
        entries.stream().filter(entry -> lost.test(entry.id)).forEach(entry -> entry.lost = true);
    }

    /**
     * Share of the gates' slot time that was used in the last {@code passed}, at whose start {@link #busyNanos} was
     * {@code busyBefore}.
     */
    double usedShare(double busyBefore, Duration passed) {
        return (busyNanos - busyBefore) / (CENTRES * SLOTS * (double) passed.toNanos());
    }

    ImmutableList<Tree> startedSince(long from) {
        return started.stream().filter(tree -> tree.at() >= from).collect(ImmutableList.toImmutableList());
    }

    /** Slot time that the gates have spent so far. */
    double busyNanos() {
        return busyNanos;
    }

    /**
     * Largest slot time of covered trees that started in any window of the given length since {@code from}, relative to
     * the capacity of the window.
     */
    double mostCovered(long from, Duration window) {
        List<Long> starts = startedSince(from).stream()
                .filter(Tree::covered)
                .map(Tree::at)
                .sorted()
                .toList();
        int first = 0;
        int most = 0;
        for (int last = 0; last < starts.size(); last++) {
            while (starts.get(last) - starts.get(first) >= window.toNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most / (CAPACITY * window.toNanos() / 1e9);
    }

    /** Share of the slot time spent since {@code from} that was spent on trees that failed. */
    double wastedShare(long from) {
        double all = 0;
        double wasted = 0;
        for (Tree tree : startedSince(from)) {
            all += tree.usedNanos();
            wasted += tree.failed() ? tree.usedNanos() : 0;
        }
        return all == 0 ? 0 : wasted / all;
    }

    /** Share of the trees started since {@code from} that failed. */
    double failedShare(long from) {
        List<Tree> trees = startedSince(from);
        return (double) trees.stream().filter(Tree::failed).count() / Math.max(1, trees.size());
    }
}

package io.beryldock.soak;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws the plan of a run from its seed. Not thread safe; used once.
 *
 * <p>Invariants: the same seed, length and number of nodes give the same plan. A plan is made of cycles: a planned stop
 * in calm, faults one after the other and over each other, the death of all nodes in calm, and calm until callers are
 * surely served again. Operators' changes come at any time.
 */
final class FaultPlanner {

    private static final Duration LONGEST_CYCLE = Duration.ofSeconds(60);

    /** Before it all nodes are in calm for longer than a planned stop is judged by. */
    private static final Duration STOP_AT = Duration.ofSeconds(3);

    /** A stop, the start after it and the calm in which it is judged. */
    private static final Duration FAULTS_FROM = Duration.ofSeconds(9);

    private static final Duration CALM_BEFORE_DEATH = Duration.ofSeconds(1);
    private static final Duration DEATH = Duration.ofSeconds(1);
    private static final Duration CALM_AFTER_DEATH = RecoveryCheck.BOUND.plus(DEATH);

    /** In a short cycle callers are served again after the load's end, for which the run waits. */
    private static final double DEATH_SHARE = 0.75;

    private static final int SHORTEST_MILLIS = 300;

    /** Beyond the time after which a removed key is dead, so that a node may sleep through it. */
    private static final int LONGEST_MILLIS = 8_000;

    /** Faults in which nodes can't hear that a key was taken away. */
    private static final ImmutableSet<FaultAction> DEAF =
            Sets.immutableEnumSet(FaultAction.PAUSED, FaultAction.STORE_SILENT_FOR_ALL);

    /** Longer than a removed key may live, so that a node must refuse what it can't know. */
    private static final Duration LONG_DEAFNESS = Duration.ofSeconds(8);

    /** How long the store is away at most before it comes back from a copy. */
    private static final Duration LONGEST_RESTORATION = Duration.ofMillis(2_500);

    /** The operators' next change after the store has come back. */
    private static final Duration CHANGE_AFTER_RESTORATION = Duration.ofSeconds(1);

    /** Calm in which nodes must know the change. */
    private static final Duration CALM_AFTER_RESTORATION =
            CHANGE_AFTER_RESTORATION.plus(NewVersionCheck.BOUND).plus(NewVersionCheck.SETTLE);

    /** How long watches hear nothing of changes. */
    private static final Duration WITHHOLDING = Duration.ofSeconds(1);

    private static final int GAP_MILLIS = 1_500;

    /** Half of a long fault, so that all kinds are active at once at times and none is at others. */
    private static final int LONGEST_RESPONSE_GAP_MILLIS = 4_000;

    private static final Duration CHANGE_PERIOD = Duration.ofSeconds(7);

    /** How long a departed target serves on: beyond the bound of its departure, with time for a restart of its node. */
    private static final int SHORTEST_DEPARTURE_MILLIS = 6_000;

    private static final int LONGEST_DEPARTURE_MILLIS = 12_000;

    /** Time between the next start of a target and its next departure. */
    private static final int SHORTEST_STAY_MILLIS = 1_200;

    private static final int LONGEST_STAY_MILLIS = 2_500;

    /** Time after a departure at which most writes that were late before it have been applied. */
    private static final int LATE_WRITES_APPLIED_MILLIS = 3_500;

    /** A node that is killed is down for so long at most. */
    private static final int LONGEST_DOWN_MILLIS = 800;

    /** Time in which the node writes the record of the target's next start; its write of the departure is not late. */
    private static final Duration LATE_WRITES = Duration.ofMillis(1_200);

    /** Time for which a restarted node can't reach the store. */
    private static final Duration SILENT_STORE = Duration.ofSeconds(6);

    private final SplittableRandom random;

    /** Drawn from apart from the other faults, which stay the same for a seed. */
    private final SplittableRandom withholdings;

    /** Drawn from apart from the other faults, which stay the same for a seed. */
    private final SplittableRandom responses;

    /** Drawn from apart from the other faults, which stay the same for a seed. */
    private final SplittableRandom departures;

    private final int nodes;
    private final List<PlannedFault> faults = new ArrayList<>();

    private FaultPlanner(long seed, int nodes) {
        this.random = new SplittableRandom(seed);
        this.withholdings = new SplittableRandom(~seed);
        this.responses = new SplittableRandom(Long.reverse(~seed));
        this.departures = new SplittableRandom(Long.reverse(seed));
        this.nodes = nodes;
    }

    /** The plan, by time. */
    static ImmutableList<PlannedFault> draw(long seed, Duration length, int nodes) {
        FaultPlanner planner = new FaultPlanner(seed, nodes);
        Duration cycle = Comparators.min(length, LONGEST_CYCLE);
        for (Duration from = Duration.ZERO; from.plus(cycle).compareTo(length) <= 0; from = from.plus(cycle)) {
            planner.addCycle(from, cycle);
        }
        planner.addChanges(length);
        return ImmutableList.sortedCopyOf(Comparator.comparing(PlannedFault::at), planner.faults);
    }

    private void addCycle(Duration from, Duration cycle) {
        add(from.plus(STOP_AT), Duration.ZERO, FaultAction.STOPPED_AS_PLANNED);
        Duration latest = cycle.minus(CALM_AFTER_DEATH);
        Duration share = Duration.ofMillis((long) (cycle.toMillis() * DEATH_SHARE));
        Duration death = from.plus(latest.compareTo(share) > 0 || cycle.equals(LONGEST_CYCLE) ? latest : share);
        addFaults(from.plus(FAULTS_FROM), death.minus(CALM_BEFORE_DEATH));
        addWithheldChange(from.plus(FAULTS_FROM), death.minus(CALM_BEFORE_DEATH));
        addResponseFaults(from.plus(FAULTS_FROM), death.minus(CALM_BEFORE_DEATH));
        addDepartures(from.plus(FAULTS_FROM), death.minus(CALM_BEFORE_DEATH));
        add(death, DEATH, FaultAction.ALL_KILLED);
    }

    private void addFaults(Duration from, Duration until) {
        Duration at = from;
        while (at.compareTo(until) < 0) {
            Duration length = millis(SHORTEST_MILLIS, LONGEST_MILLIS);
            Duration longest = until.minus(at);
            Duration kept = Comparators.min(length, longest);
            FaultAction action = FaultAction.UNPLANNED.get(random.nextInt(FaultAction.UNPLANNED.size()));
            if (DEAF.contains(action) && longest.compareTo(LONG_DEAFNESS) > 0) {
                kept = LONG_DEAFNESS;
                add(at.plusMillis(SHORTEST_MILLIS), Duration.ZERO, FaultAction.KEY_REMOVED);
            }
            if (action == FaultAction.STORE_RESTORED) {
                at = at.plus(addRestoration(at, until, kept));
                continue;
            }
            add(at, kept, action);
            boolean overlapping = random.nextBoolean() && action != FaultAction.STORE_SILENT_FOR_ALL;
            at = overlapping ? at.plus(kept.dividedBy(2)) : at.plus(kept).plus(millis(0, GAP_MILLIS));
            at = at.plusMillis(1);
        }
    }

    /** Adds a version that is written while watches of the store hear nothing of changes. */
    private void addWithheldChange(Duration from, Duration until) {
        long latest = until.minus(from).minus(WITHHOLDING).toMillis();
        if (latest <= 0) {
            return;
        }
        Duration at = from.plusMillis(withholdings.nextLong(latest));
        faults.add(new PlannedFault(at, WITHHOLDING, FaultAction.STORE_CHANGES_WITHHELD, 0));
        faults.add(new PlannedFault(at.plus(WITHHOLDING.dividedBy(2)), Duration.ZERO, FaultAction.DOCUMENT_WRITTEN, 0));
    }

    /** Adds faults of the targets' responses; each kind comes in a series of its own, over the other faults. */
    private void addResponseFaults(Duration from, Duration until) {
        for (FaultAction action : FaultAction.OF_RESPONSES) {
            Duration at = from.plusMillis(responses.nextInt(LONGEST_RESPONSE_GAP_MILLIS));
            while (at.compareTo(until) < 0) {
                Duration drawn = Duration.ofMillis(responses.nextInt(SHORTEST_MILLIS, LONGEST_MILLIS));
                Duration length = Comparators.min(drawn, until.minus(at));
                faults.add(new PlannedFault(at, length, action, 0));
                at = at.plus(length).plusMillis(1 + responses.nextInt(LONGEST_RESPONSE_GAP_MILLIS));
            }
        }
    }

    /** Adds departures of one target after the other, with faults of its node and of the store around each. */
    private void addDepartures(Duration from, Duration until) {
        int node = departures.nextInt(nodes);
        Duration at = from;
        boolean afterLateWrites = false;
        while (at.plusMillis(LONGEST_DEPARTURE_MILLIS).compareTo(until) < 0) {
            Duration length = departureMillis(SHORTEST_DEPARTURE_MILLIS, LONGEST_DEPARTURE_MILLIS);
            faults.add(new PlannedFault(at, length, FaultAction.TARGET_LEAVES, node));
            Duration delay = afterLateWrites
                    ? departureMillis(LATE_WRITES_APPLIED_MILLIS, SHORTEST_DEPARTURE_MILLIS)
                    : departureMillis(1, LATE_WRITES_APPLIED_MILLIS);
            addNodeFault(at.plus(delay), until, node);
            at = at.plus(length);
            afterLateWrites = departures.nextBoolean();
            if (afterLateWrites) {
                faults.add(new PlannedFault(at, LATE_WRITES, FaultAction.STORE_WRITES_LATE, 0));
            }
            at = at.plus(departureMillis(SHORTEST_STAY_MILLIS, LONGEST_STAY_MILLIS));
        }
    }

    private Duration departureMillis(int from, int to) {
        return millis(departures, from, to);
    }

    /** Adds a kill of the node, with the store in good order, out of its reach or without leases. */
    private void addNodeFault(Duration at, Duration until, int node) {
        Duration down = departureMillis(SHORTEST_MILLIS, LONGEST_DOWN_MILLIS);
        int storeFault = departures.nextInt(4);
        if (at.plus(SILENT_STORE).compareTo(until) >= 0) {
            return;
        }
        faults.add(new PlannedFault(at, down, FaultAction.KILLED, node));
        if (storeFault == 0) {
            faults.add(new PlannedFault(at, SILENT_STORE, FaultAction.STORE_SILENT, node));
        } else if (storeFault == 1) {
            faults.add(new PlannedFault(at.plusMillis(1), Duration.ZERO, FaultAction.STORE_LEASES_LAPSED, 0));
        }
    }

    /** Adds the fault and calm after it, as far as there is time; returns how long both last. */
    private Duration addRestoration(Duration at, Duration until, Duration drawn) {
        Duration length = Comparators.min(drawn, LONGEST_RESTORATION);
        add(at, length, FaultAction.STORE_RESTORED);
        Duration change = at.plus(length).plus(CHANGE_AFTER_RESTORATION);
        if (change.compareTo(until) < 0) {
            add(change, Duration.ZERO, FaultAction.DOCUMENT_WRITTEN);
        }
        return length.plus(CALM_AFTER_RESTORATION);
    }

    private void addChanges(Duration length) {
        for (Duration at = millis(0, LONGEST_MILLIS); at.compareTo(length) < 0; at = at.plus(CHANGE_PERIOD)) {
            add(at, Duration.ZERO, FaultAction.DOCUMENT_WRITTEN);
            add(at.plus(millis(0, LONGEST_MILLIS)), Duration.ZERO, FaultAction.KEY_REMOVED);
        }
    }

    private void add(Duration at, Duration length, FaultAction action) {
        faults.add(new PlannedFault(at, length, action, random.nextInt(nodes)));
    }

    private Duration millis(int from, int to) {
        return millis(random, from, to);
    }

    private static Duration millis(SplittableRandom source, int from, int to) {
        return Duration.ofMillis(source.nextInt(from, to));
    }
}

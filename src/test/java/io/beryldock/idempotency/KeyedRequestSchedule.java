package io.beryldock.idempotency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * A randomised run with a fixed seed: a few keys are submitted repeatedly at random nodes while faults are injected and
 * cleared.
 */
final class KeyedRequestSchedule {

    private static final int SPAN_MILLIS = 12_000;
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(15);
    private static final int KEYS = 4;
    private static final int SUBMISSIONS = 3;
    private static final int MAX_FAULTS = 6;

    private final long seed;
    private final SimulatedFleet fleet;
    private final Random random;
    private final boolean singleHome;
    private final List<String> keys = new ArrayList<>();

    KeyedRequestSchedule(long seed, SimulatedFleet.Variant variant) {
        this.seed = seed;
        this.fleet = new SimulatedFleet(seed, variant);
        this.random = fleet.random();
        this.singleHome = random.nextBoolean();
    }

    RunLedger ledger() {
        return fleet.ledger();
    }

    /** Runs the schedule; returns the seed and the violated invariant, or empty if all invariants held. */
    Optional<String> run() {
        for (int i = 0; i < KEYS; i++) {
            scheduleSubmissions(newKey(i));
        }
        int faults = random.nextInt(MAX_FAULTS + 1);
        for (int i = 0; i < faults; i++) {
            fleet.schedule(random.nextInt(SPAN_MILLIS), this::injectFault);
        }
        fleet.advance(Duration.ofMillis(SPAN_MILLIS));
        keys.forEach(this::submit);
        fleet.advance(RECOVERY_TIME);
        return fleet.ledger().violation().map(violation -> "seed " + seed + ": " + violation);
    }

    private String newKey(int number) {
        if (random.nextBoolean()) {
            return "key-" + number;
        }
        try {
            int home = singleHome ? 0 : fleet.randomNode();
            return fleet.node(home).keyed().tickets().own().mint().toString();
        } catch (TicketRefusedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void scheduleSubmissions(String key) {
        keys.add(key);
        int first = random.nextInt(SPAN_MILLIS);
        for (int i = 0; i < SUBMISSIONS; i++) {
            int spread = random.nextBoolean() ? 50 : 5_000;
            fleet.schedule(first + random.nextInt(spread), () -> submit(key));
        }
    }

    private void submit(String key) {
        boolean otherCaller = random.nextInt(12) == 0;
        boolean otherBody = random.nextInt(12) == 0;
        fleet.submit(
                fleet.node(fleet.randomNode()),
                key,
                otherCaller ? KeyedFixtures.BOB : KeyedFixtures.ANN,
                otherBody ? "other" : "order");
    }

    private void injectFault() {
        int index = fleet.randomNode();
        Duration length = Duration.ofMillis(random.nextInt(5_000));
        switch (random.nextInt(7)) {
            case 0 -> fleet.start(index);
            case 1 -> crash(index, length);
            case 2 -> fleet.node(index).pause(length);
            case 3 -> fleet.network().partition("node-" + index, "node-" + fleet.randomNode(), length);
            case 4, 5 -> fleet.injectStoreFault(length);
            default -> plannedStop(index, length);
        }
    }

    private void crash(int index, Duration length) {
        fleet.node(index).crash();
        fleet.schedule(length.toMillis(), () -> fleet.start(index));
    }

    private void plannedStop(int index, Duration length) {
        SimulatedNode node = fleet.node(index);
        node.post(() -> FutureCallbacks.onComplete(
                node.keyed().handover().stop(Duration.ofSeconds(2), Duration.ofSeconds(4)),
                (givenUp, failure) -> fleet.schedule(length.toMillis(), () -> {
                    if (fleet.node(index) == node) {
                        fleet.start(index);
                    }
                })));
    }
}

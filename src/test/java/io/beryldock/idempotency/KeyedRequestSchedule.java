package io.beryldock.idempotency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** One seeded run: a few keys submitted again and again at any node while faults come and go. */
final class KeyedRequestSchedule {

    private static final int SPAN_MILLIS = 12_000;
    private static final Duration AFTERMATH = Duration.ofSeconds(15);
    private static final int KEYS = 4;
    private static final int SUBMISSIONS = 3;
    private static final int MAX_FAULTS = 6;

    private final long seed;
    private final SimulatedFleet fleet;
    private final Random random;
    private final boolean oneHome;
    private final List<String> keys = new ArrayList<>();

    KeyedRequestSchedule(long seed, SimulatedFleet.Variant variant) {
        this.seed = seed;
        this.fleet = new SimulatedFleet(seed, variant);
        this.random = fleet.random();
        this.oneHome = random.nextBoolean();
    }

    RunLedger ledger() {
        return fleet.ledger();
    }

    /** Empty when all promises held, else the seed and what broke. */
    Optional<String> run() {
        for (int i = 0; i < KEYS; i++) {
            plan(newKey(i));
        }
        int faults = random.nextInt(MAX_FAULTS + 1);
        for (int i = 0; i < faults; i++) {
            fleet.at(random.nextInt(SPAN_MILLIS), this::fault);
        }
        fleet.advance(Duration.ofMillis(SPAN_MILLIS));
        keys.forEach(this::submit);
        fleet.advance(AFTERMATH);
        return fleet.ledger().broken().map(what -> "seed " + seed + ": " + what);
    }

    private String newKey(int number) {
        if (random.nextBoolean()) {
            return "key-" + number;
        }
        try {
            int home = oneHome ? 0 : fleet.anyNode();
            return fleet.node(home).keyed().tickets().own().mint().toString();
        } catch (TicketRefusedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void plan(String key) {
        keys.add(key);
        int first = random.nextInt(SPAN_MILLIS);
        for (int i = 0; i < SUBMISSIONS; i++) {
            int spread = random.nextBoolean() ? 50 : 5_000;
            fleet.at(first + random.nextInt(spread), () -> submit(key));
        }
    }

    private void submit(String key) {
        boolean stranger = random.nextInt(12) == 0;
        boolean otherBody = random.nextInt(12) == 0;
        fleet.submit(
                fleet.node(fleet.anyNode()),
                key,
                stranger ? KeyedFixtures.BOB : KeyedFixtures.ANN,
                otherBody ? "other" : "order");
    }

    private void fault() {
        int index = fleet.anyNode();
        Duration length = Duration.ofMillis(random.nextInt(5_000));
        switch (random.nextInt(7)) {
            case 0 -> fleet.start(index);
            case 1 -> crash(index, length);
            case 2 -> fleet.node(index).pause(length);
            case 3 -> fleet.network().cut("node-" + index, "node-" + fleet.anyNode(), length);
            case 4, 5 -> fleet.breakStore(length);
            default -> stop(index, length);
        }
    }

    private void crash(int index, Duration length) {
        fleet.node(index).crash();
        fleet.at(length.toMillis(), () -> fleet.start(index));
    }

    private void stop(int index, Duration length) {
        SimulatedNode node = fleet.node(index);
        node.post(() -> FutureCallbacks.onEnd(
                node.keyed().handover().stop(Duration.ofSeconds(2), Duration.ofSeconds(4)),
                (lost, failure) -> fleet.at(length.toMillis(), () -> {
                    if (fleet.node(index) == node) {
                        fleet.start(index);
                    }
                })));
    }
}

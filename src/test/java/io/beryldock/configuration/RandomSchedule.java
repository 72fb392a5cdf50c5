package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.store.StoreFaults;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** One seeded run of operators' changes under faults of network, store and nodes, and the checks of its outcome. */
final class RandomSchedule {

    private static final Duration IN_FORCE = Duration.ofSeconds(13);
    private static final int STEPS = 40;
    private static final ImmutableSet<String> WRITES = ImmutableSet.of("POST", "PUT", "PATCH", "DELETE");

    final Fleet fleet;
    private final Random random;
    private final List<Submitted> submissions = new ArrayList<>();
    int inForceChecks;
    int accepted;
    int unknown;
    int conflicts;

    RandomSchedule(long seed) {
        random = new Random(seed);
        fleet = Fleet.of(seed, 2 + random.nextInt(3), 2 + random.nextInt(4));
        fleet.loss = random.nextDouble() * 0.1;
        fleet.duplication = random.nextDouble() * 0.2;
        fleet.latency = Duration.ofMillis(1 + random.nextInt(100));
        fleet.latencyElsewhere = Duration.ofMillis(10 + random.nextInt(300));
    }

    private record Submitted(
            String operator,
            ConfigurationChange change,
            long seen,
            FleetNode node,
            CompletableFuture<ChangeResult> result) {}

    List<String> run() {
        fleet.start();
        fleet.advance(Duration.ofMillis(random.nextInt(8000)));
        for (int i = 0; i < STEPS; i++) {
            step();
            boolean quiet = random.nextInt(6) == 0;
            fleet.advance(Duration.ofMillis(quiet ? 15_000 : random.nextInt(2500)));
        }
        end();
        checkOutcomes();
        return fleet.violations;
    }

    private void step() {
        switch (random.nextInt(15)) {
            case 0 -> fleet.store.setFaults(randomFaults());
            case 1 -> fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(random.nextInt(50))));
            case 2 -> node().pause();
            case 3 -> fleet.nodes.forEach(FleetNode::resume);
            case 4 -> node().kill();
            case 5 -> fleet.nodes.stream().filter(node -> node.stopped).forEach(FleetNode::start);
            case 6 -> fleet.cut(node().place(), node().place(), random.nextBoolean());
            case 7 -> fleet.cutFromStore(node().place(), random.nextInt(3) == 0);
            case 8 -> fleet.healAll();
            case 9 -> submitIntoSilence();
            default -> submitSome();
        }
    }

    private StoreFaults randomFaults() {
        StoreFaults none = StoreFaults.none().withDelay(Duration.ofMillis(random.nextInt(50)));
        return switch (random.nextInt(5)) {
            case 0 -> none.withDown(true);
            case 1 -> none.withSilent(true);
            case 2 -> none.withLoseNext(1 + random.nextInt(3));
            case 3 -> none.withLoseShare(0.4);
            default -> none.withDelay(Duration.ofMillis(500 + random.nextInt(5000)));
        };
    }

    private FleetNode node() {
        return fleet.nodes.get(random.nextInt(fleet.nodes.size()));
    }

    private void submitSome() {
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            submit();
            fleet.advance(Duration.ofMillis(random.nextInt(40)));
        }
    }

    /** The store goes silent just when writes may be under way, for longer than a submission waits, or shorter. */
    private void submitIntoSilence() {
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        submitSome();
        fleet.store.setFaults(StoreFaults.none().withSilent(true));
        fleet.advance(Duration.ofSeconds(random.nextInt(Submission.MOST_SECONDS)));
        fleet.store.setFaults(StoreFaults.none());
    }

    private void submit() {
        FleetNode node = node();
        if (node.stopped || node.paused) {
            return;
        }
        String operator = "operator-" + submissions.size();
        ConfigurationChange change = randomChange();
        long seen = node.version();
        CompletableFuture<ChangeResult> result = node.writer.submit(
                change, operator, random.nextBoolean() ? seen : ConfigurationWriter.VERSION_IN_FORCE);
        submissions.add(new Submitted(operator, change, seen, node, result));
        result.thenAccept(outcome -> {
            if (outcome instanceof ChangeResult.Accepted done) {
                expectInForce(node, done.version());
            }
        });
    }

    private ConfigurationChange randomChange() {
        return switch (random.nextInt(7)) {
            case 0 -> new ConfigurationChange.MarkRoute("/orders", WRITES, random.nextBoolean());
            case 1 -> new ConfigurationChange.SetDeadline("/orders", WRITES, Duration.ofMillis(1 + random.nextInt(99)));
            case 2 -> new ConfigurationChange.Drain(NodeId.of("n" + random.nextInt(3)));
            case 3 -> new ConfigurationChange.SetBudget("standard", random.nextInt(5), 0.1);
            case 4 -> new ConfigurationChange.SetLimit(ServiceName.of("s" + random.nextInt(3)), 1 + random.nextInt(9));
            default -> new ConfigurationChange.SetClass("c" + random.nextInt(4), random.nextInt(8));
        };
    }

    /** Notes when a node that was reachable all the time lacks the version after {@link #IN_FORCE}. */
    private void expectInForce(FleetNode writer, long version) {
        long at = fleet.now();
        fleet.timers.after(IN_FORCE, () -> {
            boolean steadyNetwork = fleet.lastNetworkChange < at && writer.steadySince < at;
            if (!steadyNetwork) {
                return;
            }
            Set<String> places = fleet.reachableFrom(writer.place(), at);
            for (FleetNode node : fleet.nodes) {
                if (places.contains(node.place()) && node.steadySince < at) {
                    inForceChecks++;
                    if (node.version() < version) {
                        fleet.violations.add(node.self.id() + " is at " + node.version() + " 13 s after " + version);
                    }
                }
            }
        });
    }

    private void end() {
        fleet.store.setFaults(StoreFaults.none());
        fleet.healAll();
        fleet.nodes.stream().filter(node -> node.stopped).forEach(FleetNode::start);
        fleet.advance(Duration.ofSeconds(Submission.MOST_SECONDS));
    }

    private void checkOutcomes() {
        ConfigurationStore reader = ConfigurationStore.of(fleet.store);
        StoredHead head = reader.readHead().join().orElse(null);
        if (head == null) {
            return;
        }
        ImmutableList<ChangeRecord> history = reader.changes(head, 0).join();
        for (FleetNode node : fleet.nodes) {
            if (node.version() != head.version()) {
                fleet.violations.add(
                        node.self.id() + " ends at " + node.version() + ", the store at " + head.version());
            }
        }
        Configuration start = FleetNode.defaults().at(head.lineage(), 0);
        if (!start.after(history).equals(fleet.nodes.get(0).keeper.current())) {
            fleet.violations.add("the nodes' document is not the sum of the changes");
        }
        submissions.forEach(submitted -> check(submitted, history, start));
    }

    private void check(Submitted submitted, ImmutableList<ChangeRecord> history, Configuration start) {
        List<ChangeRecord> found = history.stream()
                .filter(record -> record.operator().equals(submitted.operator()))
                .toList();
        if (submitted.result().isCompletedExceptionally()) {
            fleet.violations.add(submitted.operator() + " got no result");
            return;
        }
        ChangeResult result = submitted.result().getNow(null);
        if (found.size() > 1) {
            fleet.violations.add(submitted.operator() + "'s change took effect twice");
        }
        if (!found.isEmpty()) {
            checkRecord(submitted, found.get(0), history, start);
        }
        if (result instanceof ChangeResult.Accepted done) {
            accepted++;
            boolean there = !found.isEmpty()
                    && found.get(0).version() == done.version()
                    && found.get(0).changeId().equals(done.changeId());
            if (!there) {
                fleet.violations.add(submitted.operator() + " was told accepted, and the change is not there");
            }
        } else if (result instanceof ChangeResult.Unknown) {
            unknown++;
        } else if (result != null) {
            conflicts += result instanceof ChangeResult.Conflict ? 1 : 0;
            if (!found.isEmpty()) {
                fleet.violations.add(submitted.operator() + " was told " + result + ", and the change is there");
            }
        }
    }

    /** The change was made on the version before it, and nobody's change of its setting was overwritten unseen. */
    private void checkRecord(
            Submitted submitted, ChangeRecord record, ImmutableList<ChangeRecord> history, Configuration start) {
        int index = (int) record.version() - 1;
        try {
            SettingEdit expected = submitted.change().editOf(start.after(history.subList(0, index)));
            if (!expected.equals(record.edit())) {
                fleet.violations.add("version " + record.version() + " undid another change");
            }
        } catch (ConfigurationException e) {
            fleet.violations.add("version " + record.version() + " is not acceptable: " + e.getMessage());
        }
        for (ChangeRecord between : history.subList((int) submitted.seen(), index)) {
            if (between.touched().overlaps(submitted.change().setting())) {
                fleet.violations.add(submitted.operator() + " overwrote " + between.operator() + "'s change unseen");
            }
        }
    }
}

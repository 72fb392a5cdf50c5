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

/**
 * A seeded run of operators' changes under faults of the network, the store and the nodes, with checks of the outcome.
 */
final class RandomSchedule {

    private static final Duration IN_FORCE = Duration.ofSeconds(13);
    private static final int STEPS = 40;
    private static final ImmutableSet<String> WRITE_METHODS = ImmutableSet.of("POST", "PUT", "PATCH", "DELETE");

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
        fleet.remoteLatency = Duration.ofMillis(10 + random.nextInt(300));
    }

    private record Submitted(
            String operator,
            ConfigurationChange change,
            long basedOnVersion,
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
            case 6 -> fleet.cut(node().dataCentre(), node().dataCentre(), random.nextBoolean());
            case 7 -> fleet.cutFromStore(node().dataCentre(), random.nextInt(3) == 0);
            case 8 -> fleet.healAll();
            case 9 -> submitBeforeStoreStopsAnswering();
            default -> submitSeveral();
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

    private void submitSeveral() {
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            submit();
            fleet.advance(Duration.ofMillis(random.nextInt(40)));
        }
    }

    /**
     * Submits changes, then makes the store stop answering while writes may be under way, for a time that may be
     * shorter or longer than a submission waits.
     */
    private void submitBeforeStoreStopsAnswering() {
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        submitSeveral();
        fleet.store.setFaults(StoreFaults.none().withSilent(true));
        fleet.advance(Duration.ofSeconds(random.nextInt(Submission.MAX_SECONDS)));
        fleet.store.setFaults(StoreFaults.none());
    }

    private void submit() {
        FleetNode node = node();
        if (node.stopped || node.paused) {
            return;
        }
        String operator = "operator-" + submissions.size();
        ConfigurationChange change = randomChange();
        long basedOnVersion = node.version();
        CompletableFuture<ChangeResult> result = node.writer.submit(
                change, operator, random.nextBoolean() ? basedOnVersion : ConfigurationWriter.VERSION_IN_FORCE);
        submissions.add(new Submitted(operator, change, basedOnVersion, node, result));
        result.thenAccept(outcome -> {
            if (outcome instanceof ChangeResult.Accepted done) {
                expectInForce(node, done.version());
            }
        });
    }

    private ConfigurationChange randomChange() {
        return switch (random.nextInt(7)) {
            case 0 -> new ConfigurationChange.MarkRoute("/orders", WRITE_METHODS, random.nextBoolean());
            case 1 ->
                new ConfigurationChange.SetDeadline(
                        "/orders", WRITE_METHODS, Duration.ofMillis(1 + random.nextInt(99)));
            case 2 -> new ConfigurationChange.Drain(NodeId.of("n" + random.nextInt(3)));
            case 3 -> new ConfigurationChange.SetBudget("standard", random.nextInt(5), 0.1);
            case 4 -> new ConfigurationChange.SetLimit(ServiceName.of("s" + random.nextInt(3)), 1 + random.nextInt(9));
            default -> new ConfigurationChange.SetClass("c" + random.nextInt(4), random.nextInt(8));
        };
    }

    /** Records a violation if a node that was reachable all the time lacks the version after {@link #IN_FORCE}. */
    private void expectInForce(FleetNode writer, long version) {
        long at = fleet.now();
        fleet.timers.after(IN_FORCE, () -> {
            boolean stable = fleet.lastNetworkChange < at && writer.runningSince < at;
            if (!stable) {
                return;
            }
            Set<String> dataCentres = fleet.reachableFrom(writer.dataCentre(), at);
            for (FleetNode node : fleet.nodes) {
                if (dataCentres.contains(node.dataCentre()) && node.runningSince < at) {
                    inForceChecks++;
                    if (node.version() < version) {
                        fleet.violations.add(node.self.id() + " still has version " + node.version()
                                + " 13 s after version " + version);
                    }
                }
            }
        });
    }

    private void end() {
        fleet.store.setFaults(StoreFaults.none());
        fleet.healAll();
        fleet.nodes.stream().filter(node -> node.stopped).forEach(FleetNode::start);
        fleet.advance(Duration.ofSeconds(Submission.MAX_SECONDS));
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
                fleet.violations.add(node.self.id() + " ends with version " + node.version()
                        + ", the store with version " + head.version());
            }
        }
        Configuration start = FleetNode.defaults().withVersion(head.lineage(), 0);
        if (!start.after(history).equals(fleet.nodes.get(0).activeConfiguration.current())) {
            fleet.violations.add("the document of the nodes is not the result of the accepted changes");
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
            boolean inHistory = !found.isEmpty()
                    && found.get(0).version() == done.version()
                    && found.get(0).changeId().equals(done.changeId());
            if (!inHistory) {
                fleet.violations.add(
                        submitted.operator() + "'s change was reported as accepted but is not in the history");
            }
        } else if (result instanceof ChangeResult.Unknown) {
            unknown++;
        } else if (result != null) {
            conflicts += result instanceof ChangeResult.Conflict ? 1 : 0;
            if (!found.isEmpty()) {
                fleet.violations.add(
                        submitted.operator() + "'s change was reported as " + result + " but is in the history");
            }
        }
    }

    /**
     * Checks that the change was applied to the previous version and overwrote no change of the same setting that its
     * operator had not seen.
     */
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
        for (ChangeRecord between : history.subList((int) submitted.basedOnVersion(), index)) {
            if (between.touched().overlaps(submitted.change().setting())) {
                fleet.violations.add(
                        submitted.operator() + " overwrote " + between.operator() + "'s change without having seen it");
            }
        }
    }
}

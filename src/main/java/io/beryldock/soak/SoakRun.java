package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import io.beryldock.time.ThreadTimerService;
import io.beryldock.time.TimerService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * One run: nodes as processes, load, the faults of a plan, and the checks over all of it.
 *
 * <p>Used by one thread, which it holds until the end.
 */
public final class SoakRun implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(1);
    private static final Duration SAMPLE_PERIOD = Duration.ofSeconds(1);

    /** Processes of several nodes start side by side on a host that may be busy. */
    private static final Duration LONGEST_START = Duration.ofMinutes(2);

    /** Longer than any caller waits. */
    private static final Duration LONGEST_END = Duration.ofSeconds(30);

    private static final long POLL_MILLIS = 100;

    private final Plan plan;
    private final Surroundings surroundings;
    private final ThreadTimerService timers = ThreadTimerService.start("soak", Runnable::run);
    private final RecoveryCheck recovery = new RecoveryCheck();
    private final SoakLedger ledger;
    private final Operators operators;
    private final Path directory;
    private final List<SoakPlace> places = new CopyOnWriteArrayList<>();
    private final List<CallerLoad> callers = new ArrayList<>();

    /** Node processes would outlive a soak that is ended by a signal. */
    private final Thread onExit = new Thread(() -> places.forEach(SoakPlace::close), "soak-exit");

    private SoakRun(Plan plan, Surroundings surroundings, Path directory) {
        this.plan = plan;
        this.surroundings = surroundings;
        this.directory = directory;
        this.ledger = new SoakLedger(
                timers.ticker(),
                PromiseCheck.all(SoakBounds.of(plan.seed()), recovery),
                text -> log.atSevere().log("seed %d: %s", plan.seed(), text));
        this.operators = new Operators(surroundings, ledger, new SplittableRandom(plan.seed()));
        Runtime.getRuntime().addShutdownHook(onExit);
    }

    /**
     * What is played. Immutable.
     *
     * @param only the faults of the plan that are played; empty for all
     */
    public record Plan(long seed, Duration length, int nodes, TargetProfile profile, ImmutableSet<FaultAction> only) {

        /** Plans all faults that the seed draws, with targets that change. */
        public static Plan of(long seed, Duration length, int nodes) {
            return new Plan(seed, length, nodes, TargetProfile.CHANGING, ImmutableSet.of());
        }

        /** The faults, one a line. */
        public String text() {
            StringBuilder text = new StringBuilder();
            faults().forEach(fault -> text.append(fault).append('\n'));
            return text.toString();
        }

        ImmutableList<PlannedFault> faults() {
            return FaultPlanner.draw(seed, length, nodes).stream()
                    .filter(fault -> only.isEmpty() || only.contains(fault.action()))
                    .collect(ImmutableList.toImmutableList());
        }
    }

    /** Plays the plan; the surroundings are closed at the end. */
    public static SoakReport play(Plan plan, Surroundings surroundings) throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("beryldock-soak-" + plan.seed() + "-");
        try (SoakRun run = new SoakRun(plan, surroundings, directory)) {
            run.startNodes();
            run.load();
            ImmutableList<PlannedFault> faults = plan.faults();
            return new SoakReport(plan.seed(), faults.size(), run.ledger.counts(), run.ledger.broken(), directory);
        }
    }

    private void startNodes() throws IOException, InterruptedException {
        operators.write();
        for (int i = 0; i < plan.nodes(); i++) {
            NodePlace place = NodePlace.find(plan.seed(), i);
            places.add(SoakPlace.prepare(place, surroundings, targetEvents(), SoakBounds.of(plan.seed()), directory));
            callers.add(new CallerLoad(
                    place, surroundings, operators, ledger, new SplittableRandom(plan.seed() * plan.nodes() + i)));
        }
        for (SoakPlace place : places) {
            place.node().startIfDown();
            ledger.add(at -> new SoakEvent.Started(at, place.number()));
            timers.every(ANNOUNCE_PERIOD, () -> surroundings.announce(place.place(), place.announced()));
        }
        for (CallerLoad each : callers) {
            boolean ready = poll(LONGEST_START, () -> each.trial().join());
            if (!ready) {
                throw new IOException("the nodes do not serve " + LONGEST_START.toSeconds()
                        + " s after their start; see their logs in " + directory);
            }
        }
    }

    private void load() throws IOException, InterruptedException {
        List<TimerService.Subscription> sending = callers.stream()
                .map(each -> each.start(timers, plan.profile().callerPeriod()))
                .toList();
        HoldUpWatch watch = new HoldUpWatch(ImmutableList.copyOf(places), surroundings, ledger, timers.ticker());
        TimerService.Subscription watching = timers.every(HoldUpWatch.PERIOD, watch::look);
        TimerService.Subscription sampling = timers.every(SAMPLE_PERIOD, this::sample);
        new FaultExecutor(ImmutableList.copyOf(places), surroundings, operators, ledger, timers.ticker())
                .run(plan.faults(), plan.length());
        // The check itself bounds the wait: it stops waiting when its bound has passed.
        poll(RecoveryCheck.BOUND.multipliedBy(2), () -> ledger.ask(() -> !recovery.isWaiting()));
        sending.forEach(TimerService.Subscription::cancel);
        sampling.cancel();
        watching.cancel();
        boolean ended = poll(LONGEST_END, () -> callers.stream().allMatch(each -> each.open() == 0));
        if (!ended) {
            log.atWarning().log("some requests have no end %s after the last was sent", LONGEST_END);
        }
        ledger.add(SoakEvent.RunEnded::new);
    }

    private void sample() {
        for (SoakPlace place : places) {
            place.node()
                    .sample(timers.ticker().nanos())
                    .ifPresent(seen -> ledger.add(
                            at -> new SoakEvent.Sampled(at, seen.node(), seen.memoryKilobytes(), seen.openFiles())));
        }
    }

    private Surroundings.TargetEvents targetEvents() {
        return new Surroundings.TargetEvents() {
            @Override
            public void arrived(int node, String id, String service) {
                ledger.add(at -> new SoakEvent.Arrived(at, node, id, service));
            }

            @Override
            public void ran(int node, String id, String service, String body) {
                ledger.add(at -> new SoakEvent.Ran(at, node, id, service, body));
            }

            @Override
            public void named(int node, String id, double ratePerSecond, boolean leaving) {
                ledger.add(at -> new SoakEvent.Named(at, node, id, ratePerSecond, leaving));
            }

            @Override
            public void endlessBegan(int node, long response, String what) {
                ledger.add(at -> new SoakEvent.EndlessBegan(at, node, response, what));
            }

            @Override
            public void endlessEnded(int node, long response, String what, long bytes) {
                ledger.add(at -> new SoakEvent.EndlessEnded(at, node, response, what, bytes));
            }

            @Override
            public void departureConfirmed(int node) {
                ledger.add(at -> new SoakEvent.DepartureConfirmed(at, node));
            }

            @Override
            public void targetStarted(int node) {
                ledger.add(at -> new SoakEvent.TargetStarted(at, node));
            }

            @Override
            public void sent(int node, CallerRequest request) {
                ledger.add(at -> new SoakEvent.Sent(at, node, request));
            }
        };
    }

    private static boolean poll(Duration longest, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + longest.toNanos();
        while (System.nanoTime() - end < 0) {
            if (condition.getAsBoolean()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return false;
    }

    @Override
    public void close() {
        timers.close();
        places.forEach(SoakPlace::close);
        surroundings.close();
        Runtime.getRuntime().removeShutdownHook(onExit);
    }
}

package io.beryldock.measure;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.flogger.FluentLogger;
import io.beryldock.call.Reason;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationException;
import io.beryldock.configuration.RetrySetting;
import io.beryldock.http.ServerStartException;
import io.beryldock.httpclient.PlainHttpClientOptions;
import io.beryldock.httpclient.PlainHttpClients;
import io.beryldock.node.RunningNode;
import io.beryldock.peer.PeerStartException;
import io.beryldock.settings.NodeSettings.Policy;
import io.beryldock.settings.SettingsException;
import io.beryldock.standin.StandinException;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.core5.io.CloseMode;

/**
 * Runs one scenario under one policy on real nodes and draws up the figures.
 *
 * <p>Used by one thread.
 */
public final class ScenarioRunner {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int CLIENT_THREADS = 2;
    private static final int CONNECTIONS = 4000;
    private static final Duration CONNECTION_WAIT = Duration.ofSeconds(5);
    private static final Duration PROGRESS_PERIOD = Duration.ofMillis(500);
    private static final Duration LONGEST_END = Duration.ofSeconds(15);

    private final Scenario scenario;
    private final Topology topology;
    private final Policy policy;
    private final long seed;
    private final Ticker ticker = Ticker.system();
    private final ProgressListener progress;

    private ScenarioRunner(Scenario scenario, Topology topology, Policy policy, long seed, ProgressListener progress) {
        this.scenario = scenario;
        this.topology = topology;
        this.policy = policy;
        this.seed = seed;
        this.progress = progress;
    }

    /** Is told now and then how far a run is. */
    @FunctionalInterface
    public interface ProgressListener {

        void progress(double seconds, long asked, long ended);
    }

    /**
     * A runner of a scenario in the program's resources.
     *
     * @param seconds length of the run, 0 for the scenario's own
     */
    public static ScenarioRunner of(String name, Policy policy, long seed, int seconds, ProgressListener progress)
            throws SettingsException {
        Scenario scenario = ScenarioCatalogue.scenario(name);
        Scenario timed = seconds > 0 ? scenario.withSeconds(seconds) : scenario;
        return new ScenarioRunner(timed, ScenarioCatalogue.topology(scenario.topology()), policy, seed, progress);
    }

    /** Starts the nodes, waits until they are ready, runs the load and the faults, and stops all. */
    public ScenarioResult run()
            throws StandinException, SettingsException, PeerStartException, ServerStartException,
                    ConfigurationException, InterruptedException {
        try (ScenarioCluster cluster = ScenarioCluster.start(topology, policy, seed)) {
            CloseableHttpAsyncClient client =
                    PlainHttpClients.start(PlainHttpClientOptions.of(CLIENT_THREADS, CONNECTIONS, CONNECTIONS)
                            .withConnectionWait(CONNECTION_WAIT));
            try {
                new WarmUp(topology, cluster, client).await();
                warmUp(cluster, client);
                return runLoad(cluster, client);
            } finally {
                client.close(CloseMode.IMMEDIATE);
            }
        }
    }

    private void warmUp(ScenarioCluster cluster, CloseableHttpAsyncClient client) throws InterruptedException {
        if (scenario.warmUpSeconds() > 0) {
            LoadGenerator load = LoadGenerator.create(ArrivalSchedule.ofWarmUp(topology, scenario, seed), ticker);
            load.run(ticker.nanos(), driver(cluster, client, OverheadMeter.create(), load)::start);
        }
    }

    private RequestDriver driver(
            ScenarioCluster cluster, CloseableHttpAsyncClient client, OverheadMeter overhead, LoadGenerator load) {
        return RequestDriver.create(new RequestDriver.Parts(
                client,
                cluster.resources().timers(),
                cluster.entries(),
                scenario.patience(),
                seed,
                overhead,
                load::ended));
    }

    private ScenarioResult runLoad(ScenarioCluster cluster, CloseableHttpAsyncClient client)
            throws ConfigurationException, InterruptedException {
        OverheadMeter overhead = OverheadMeter.create();
        LoadGenerator load = LoadGenerator.create(ArrivalSchedule.create(topology, scenario, seed), ticker);
        TimerService timers = cluster.resources().timers();
        RequestDriver driver = driver(cluster, client, overhead, load);
        long start = ticker.nanos();
        TimerService.Subscription report = timers.every(PROGRESS_PERIOD, () -> report(load, start));
        DirectProber prober = DirectProber.start(topology, cluster, client, overhead);
        FaultDriver faults = FaultDriver.start(scenario, cluster);
        try {
            load.run(start, driver::start);
            if (!load.awaitEnd(LONGEST_END)) {
                log.atWarning().log("%d requests have no end", load.asked() - load.endedCount());
            }
            return result(cluster, load.requests(), start, overhead, faults.crashes());
        } finally {
            faults.close();
            prober.close();
            report.cancel();
        }
    }

    private void report(LoadGenerator load, long start) {
        double seconds =
                (ticker.nanos() - start) / (double) Duration.ofSeconds(1).toNanos();
        progress.progress(seconds, load.asked(), load.endedCount());
    }

    private ScenarioResult result(
            ScenarioCluster cluster, List<UserRequest> requests, long start, OverheadMeter overhead, int crashes)
            throws ConfigurationException {
        RunAudit audit = RunAudit.of(requests, cluster.targets());
        ClassTable table = ClassTable.of(topology, requests);
        CapacityBound bound = CapacityBound.of(topology, scenario);
        long retries = Math.max(
                audit.executedRetriesMax(), most(cluster, node -> node.tally().mostRetries()));
        long violations = cluster.nodes().stream()
                .mapToLong(node -> node.ledger().violations())
                .sum();
        long unended = requests.stream().filter(request -> !request.isEnded()).count();
        long retryBound = retryBound();
        boolean held = audit.doubleRuns() == 0
                && audit.notRunButRan() == 0
                && audit.crossedAnswers() == 0
                && violations == 0
                && unended == 0
                && retries <= retryBound;
        OptionalDouble recovery = RecoveryMeter.seconds(requests, start, scenario);
        MeasureReport report = new MeasureReport(
                scenario.name(),
                policy.name().toLowerCase(Locale.ROOT),
                seed,
                scenario.seconds(),
                byClass(table, ClassTable.Row::share),
                completed(requests, start, new Scenario.Span(0, 1)),
                bound.mean(),
                completed(requests, start, scenario.cause()),
                bound.mean(scenario.cause()),
                recovery.isPresent() ? recovery.getAsDouble() : null,
                audit.wastedWorkShare(),
                retries,
                retryBound,
                audit.doubleRuns(),
                audit.notRunButRan(),
                audit.crossedAnswers(),
                unended,
                overhead.added(),
                byClass(table, ClassTable.Row::tailMillis),
                crashes,
                held);
        return new ScenarioResult(report, table, retriesTotal(cluster), refusals(cluster));
    }

    private static long most(ScenarioCluster cluster, ToDoubleFunction<RunningNode> figure) {
        return (long) cluster.nodes().stream().mapToDouble(figure).max().orElse(0);
    }

    private static long retriesTotal(ScenarioCluster cluster) {
        return cluster.nodes().stream()
                .flatMap(node -> node.tally().rows().values().stream())
                .mapToLong(row -> row.retries())
                .sum();
    }

    /** Attempts that nodes refused, by reason; a user's request may have had several. */
    private static ImmutableMap<Reason, Long> refusals(ScenarioCluster cluster) {
        Map<Reason, Long> sums = new EnumMap<>(Reason.class);
        cluster.nodes().stream()
                .flatMap(node -> node.tally().rows().values().stream())
                .forEach(row -> row.notRunByReason().forEach((reason, count) -> sums.merge(reason, count, Long::sum)));
        return ImmutableMap.copyOf(sums);
    }

    private long retryBound() throws ConfigurationException {
        return Configuration.defaults(topology.deployment()).settings().values().stream()
                .filter(RetrySetting.class::isInstance)
                .mapToLong(setting -> ((RetrySetting) setting).retries())
                .max()
                .orElse(0);
    }

    /** Whole requests a second, of those asked within the span. */
    private double completed(List<UserRequest> requests, long start, Scenario.Span span) {
        double length = scenario.length().toNanos();
        long count = requests.stream()
                .filter(UserRequest::isComplete)
                .filter(request -> span.contains((request.asked() - start) / length))
                .count();
        return count / (scenario.seconds() * (span.until() - span.from()));
    }

    private static ImmutableSortedMap<String, Double> byClass(
            ClassTable table, ToDoubleFunction<ClassTable.Row> figure) {
        ImmutableSortedMap.Builder<String, Double> map = ImmutableSortedMap.naturalOrder();
        table.rows().forEach((name, row) -> map.put(name, figure.applyAsDouble(row)));
        return map.build();
    }
}

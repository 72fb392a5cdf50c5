package io.beryldock.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.FormatMethod;
import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.store.StoreCallCounts;
import io.beryldock.store.StoreFaults;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Measures the cost of the configuration and the speed at which changes spread, for
 * docs/DECISIONS/0015-configuration.md; run by name only: {@code mvn -B -o -Dtest=ConfigurationMeasurement test}.
 */
class ConfigurationMeasurement {

    /** Interval between changes at 12,000 changes a day. */
    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(7200);

    private static final int CHANGES = 20;
    private static final Duration STEP = Duration.ofMillis(20);

    /**
     * Measures the time until a change is in force on all nodes, and the traffic, at 12,000 changes a day with lost
     * messages; in some runs only one data centre reaches the store.
     */
    @ParameterizedTest
    @CsvSource({
        "3, 10, 0.01, true",
        "3, 100, 0.01, true",
        "3, 700, 0.01, true",
        "31, 20, 0.01, true",
        "31, 20, 0.01, false",
        "3, 700, 0.1, true",
        "3, 700, 0.1, false"
    })
    void spread(int dataCentres, int nodesEach, double loss, boolean allReachStore) {
        Fleet fleet = Fleet.of(1, dataCentres, nodesEach);
        fleet.loss = loss;
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        fleet.start();
        fleet.advance(Duration.ofSeconds(10));
        submitAndAwaitAcceptance(fleet, 0);
        fleet.advance(Duration.ofSeconds(10));
        if (!allReachStore) {
            for (int dataCentre = 1; dataCentre < dataCentres; dataCentre++) {
                fleet.cutFromStore("dc-" + dataCentre, true);
            }
        }
        fleet.advance(Duration.ofSeconds(10));
        Histogram millis = measureChanges(fleet, false);
        print(
                "%d data centres of %d, loss %s, store for %s: everywhere p50 %d ms, most %d ms; head %d bytes; %s",
                dataCentres,
                nodesEach,
                loss,
                allReachStore ? "all" : "one",
                millis.getValueAtPercentile(50),
                millis.getMaxValue(),
                headBytes(fleet),
                load(fleet));
        assertThat(fleet.violations).isEmpty();
    }

    private static int headBytes(Fleet fleet) {
        var head = fleet.store.get(StoreKeys.HEAD);
        fleet.advance(Duration.ofSeconds(1));
        return head.join().orElseThrow().value().size();
    }

    /** Measures the additional traffic of a survey after each change. */
    @Test
    void survey() {
        Fleet fleet = Fleet.of(2, 3, 700);
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        fleet.start();
        fleet.advance(Duration.ofSeconds(10));
        submitAndAwaitAcceptance(fleet, 0);
        fleet.advance(Duration.ofSeconds(10));
        assertThat(measureChanges(fleet, true).getTotalCount()).isEqualTo(CHANGES);
        print("3 data centres of 700 with a survey after each change; %s", load(fleet));
    }

    /** Submits changes at the daily rate; returns the times until each change is in force on all nodes. */
    private static Histogram measureChanges(Fleet fleet, boolean survey) {
        fleet.nodes.forEach(node -> {
            node.bytesSent = 0;
            node.bytesReceived = 0;
            node.messagesSent = 0;
        });
        fleet.countsBefore = fleet.store.counts();
        fleet.measuredFrom = fleet.now();
        fleet.cpuFrom = cpu();
        Histogram millis = new Histogram(3);
        for (int i = 1; i <= CHANGES; i++) {
            long start = fleet.now();
            long version = submitAndAwaitAcceptance(fleet, i);
            if (survey) {
                var unused = fleet.nodes.get(0).sync.awaitInForce(version, Duration.ofSeconds(5));
            }
            while (!fleet.behind(version).isEmpty()) {
                fleet.advance(STEP);
            }
            millis.recordValue(Duration.ofNanos(fleet.now() - start).toMillis());
            fleet.advance(CHANGE_INTERVAL.minusNanos(Math.min(fleet.now() - start, CHANGE_INTERVAL.toNanos())));
        }
        return millis;
    }

    private static String load(Fleet fleet) {
        double seconds = (fleet.now() - fleet.measuredFrom) / 1e9;
        Histogram bytes = new Histogram(3);
        fleet.nodes.forEach(node -> bytes.recordValue((long) ((node.bytesSent + node.bytesReceived) / seconds)));
        long messages =
                fleet.nodes.stream().mapToLong(node -> node.messagesSent).sum();
        StoreCallCounts now = fleet.store.counts();
        double micros = (cpu() - fleet.cpuFrom) / 1e3 / fleet.nodes.size() / seconds;
        return String.format(
                "bytes/s a node in and out: mean %.0f, p99 %d, most %d; messages/s a node %.2f;"
                        + " store calls/s: reads %.2f, writes %.2f, watches %.2f; processor %.1f us/s a node",
                bytes.getMean(),
                bytes.getValueAtPercentile(99),
                bytes.getMaxValue(),
                messages / seconds / fleet.nodes.size(),
                (now.reads() - fleet.countsBefore.reads()) / seconds,
                (now.writes() - fleet.countsBefore.writes()) / seconds,
                (now.watches() - fleet.countsBefore.watches()) / seconds,
                micros);
    }

    private static long submitAndAwaitAcceptance(Fleet fleet, int number) {
        Route route = route("/service-" + number + "/pages/visible", "service-" + number);
        var result =
                fleet.nodes.get(0).writer.submit(new ConfigurationChange.SetRoute(route), "operator-" + number, -1);
        while (!result.isDone()) {
            fleet.advance(Duration.ofMillis(1));
        }
        return ((ChangeResult.Accepted) result.join()).version();
    }

    private static Route route(String prefix, String service) {
        return new Route(
                prefix,
                ImmutableSet.of(),
                ServiceName.of(service),
                "browsing",
                true,
                Duration.ofSeconds(3),
                "standard");
    }

    @FormatMethod
    private static void print(String format, Object... args) {
        System.out.printf(Locale.ROOT, format + "%n", args);
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Measures the size of a document of 2,400 services, and the time to encode, decode, change and search it. */
    @Test
    void document() throws Exception {
        Configuration document = document(2400);
        ByteString packed = DocumentCodec.encode(document, ImmutableList.of());
        int plain = document.settings().values().stream()
                .mapToInt(setting -> SettingCodec.entry(setting).getSerializedSize() + 3)
                .sum();
        print(
                "2,400 services, %d settings: %d bytes plain, %d packed, %d JSON",
                document.settings().size(),
                plain,
                packed.size(),
                document.toJson().length());
        print("heap of ten such documents: %.1f MB", tenDocumentsBytes() / 1e6);
        Route change = route("/service-7/pages/visible", "service-8");
        print("pack %.1f ms", millis(() -> DocumentCodec.encode(document, ImmutableList.of())));
        print("unpack %.1f ms", millis(() -> DocumentCodec.decode(packed)));
        print("apply a change %.2f ms", millis(() -> document.with(SettingEdit.put(change))));
        int paths = 1024;
        String[] path = new String[paths];
        for (int i = 0; i < paths; i++) {
            path[i] = "/service-" + (i * 7 % 2400) + "/orders/12345/lines?page=" + i;
        }
        double batch = millis(() -> {
            int found = 0;
            for (String each : path) {
                found += document.find("GET", each).isPresent() ? 1 : 0;
            }
            return found;
        });
        long routes = document.settings().values().stream()
                .filter(Route.class::isInstance)
                .count();
        print("find among %d routes: %.0f ns", routes, batch * 1e6 / paths);
    }

    /** Returns the heap size of ten documents; with ten, other allocations of the process matter little. */
    private static long tenDocumentsBytes() {
        List<Configuration> documents = new ArrayList<>();
        System.gc();
        long before = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        for (int i = 0; i < 10; i++) {
            documents.add(document(2400));
        }
        System.gc();
        long after = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        assertThat(documents).hasSize(10);
        return after - before;
    }

    private static Configuration document(int services) {
        List<Setting> settings = new ArrayList<>(FleetNode.defaults().settings().values());
        for (int i = 0; i < services; i++) {
            String service = "service-" + i;
            settings.add(route("/" + service, service));
            settings.add(new Route(
                    "/" + service + "/orders",
                    ImmutableSet.of("POST", "PUT"),
                    ServiceName.of(service),
                    "order",
                    false,
                    Duration.ofSeconds(10),
                    "standard"));
            settings.add(route("/" + service + "/pages/visible", service));
            settings.add(new ServiceSetting(ServiceName.of(service), 50));
            settings.add(new RetrySetting(service, 3, 0.1));
        }
        return Configuration.of("0123456789abcdef", 1, settings);
    }

    /** Measures the selection of peers from a directory of 22,000 nodes. */
    @Test
    void peerSelection() throws Exception {
        Random random = new Random(1);
        List<NodeDescriptor> nodes = new ArrayList<>();
        for (int i = 0; i < 22_000; i++) {
            nodes.add(new NodeDescriptor(
                    NodeId.of("region-dc-" + i % 31 + "-service-" + i),
                    Incarnation.random(random),
                    DataCentre.of("dc-" + i % 31),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + i)));
        }
        Directory directory = Directory.of(nodes, List.of());
        NodeDescriptor watcher = nodes.stream()
                .filter(node -> PeerSelection.of(node, directory).watcher())
                .findFirst()
                .orElseThrow();
        NodeDescriptor other = nodes.stream()
                .filter(node -> !PeerSelection.of(node, directory).watcher())
                .findFirst()
                .orElseThrow();
        PeerSelection first = PeerSelection.of(watcher, directory);
        print(
                "choice of peers among 22,000: %.2f ms at a node, %.2f ms at a watcher, there %.2f ms the first time",
                millis(() -> PeerSelection.of(other, directory)),
                millis(() -> first.next(directory)),
                millis(() -> PeerSelection.of(watcher, directory)));
    }

    /** The code to measure. */
    @FunctionalInterface
    private interface Work {
        Object run() throws Exception;
    }

    /** Returns the mean time of a run in milliseconds, after a warm-up. */
    private static double millis(Work work) throws Exception {
        Duration each = Duration.ofSeconds(1);
        long runs = 0;
        long spent = 0;
        for (int round = 0; round < 2; round++) {
            runs = 0;
            long start = System.nanoTime();
            do {
                assertThat(work.run()).isNotNull();
                runs++;
                spent = System.nanoTime() - start;
            } while (spent < each.toNanos());
        }
        return spent / 1e6 / runs;
    }
}

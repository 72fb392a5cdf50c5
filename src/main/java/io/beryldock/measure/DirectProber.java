package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationException;
import io.beryldock.measure.Topology.CallerClass;
import io.beryldock.measure.Topology.Service;
import io.beryldock.standin.StandinTarget;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.core5.concurrent.FutureCallback;

/** Calls targets directly now and then, to tell what the way through nodes adds. Thread safe. */
final class DirectProber implements AutoCloseable {

    private static final Duration PERIOD = Duration.ofMillis(50);
    private static final int OK = 200;

    private final List<Probe> probes;
    private final CloseableHttpAsyncClient client;
    private final TimerService timers;
    private final OverheadMeter overhead;
    private final AtomicInteger count = new AtomicInteger();
    private final TimerService.Subscription repetition;

    private record Probe(StandinTarget target, String path) {}

    private DirectProber(
            List<Probe> probes, CloseableHttpAsyncClient client, TimerService timers, OverheadMeter overhead) {
        this.probes = probes;
        this.client = client;
        this.timers = timers;
        this.overhead = overhead;
        this.repetition = probes.isEmpty() ? () -> {} : timers.every(PERIOD, this::probe);
    }

    static DirectProber start(
            Topology topology, ScenarioCluster cluster, CloseableHttpAsyncClient client, OverheadMeter overhead)
            throws ConfigurationException {
        Configuration configuration = Configuration.defaults(topology.deployment());
        List<Probe> probes = new ArrayList<>();
        for (CallerClass callers : topology.callers()) {
            String name = configuration
                    .find(callers.method(), callers.path())
                    .orElseThrow()
                    .service()
                    .value();
            if (callers.method().equals("GET") && isLeaf(topology.services(), name, callers)) {
                cluster.targetsOf(name).forEach(target -> probes.add(new Probe(target, callers.path())));
            }
        }
        return new DirectProber(probes, client, cluster.resources().timers(), overhead);
    }

    private static boolean isLeaf(ImmutableList<Service> services, String name, CallerClass callers) {
        return services.stream()
                .filter(service -> service.name().equals(name))
                .flatMap(service -> service.innerCalls().stream())
                .noneMatch(call -> callers.path().startsWith(call.prefix()));
    }

    private void probe() {
        int number = count.getAndIncrement();
        Probe probe = probes.get(number % probes.size());
        String uri = "http://" + probe.target.address().getHostString() + ":"
                + probe.target.address().getPort() + probe.path + "/1?echo=direct" + number;
        long sent = timers.ticker().nanos();
        var unused = client.execute(SimpleRequestBuilder.get(uri).build(), new FutureCallback<>() {
            @Override
            public void completed(SimpleHttpResponse response) {
                long nanos = timers.ticker().nanos() - sent;
                if (response.getCode() == OK) {
                    AnswerChecker.ownNanos(response.getBodyText()).ifPresent(own -> overhead.addDirect(nanos - own));
                }
            }

            @Override
            public void failed(Exception failure) {
                // A target that is down or hangs gives no sample; the next probe goes to another.
            }

            @Override
            public void cancelled() {
                // As when it failed.
            }
        });
    }

    @Override
    public void close() {
        repetition.cancel();
    }
}

package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationException;
import io.beryldock.configuration.Route;
import io.beryldock.measure.Topology.CallerClass;
import io.beryldock.measure.Topology.Service;
import io.beryldock.standin.StandinTargetSettings.InnerCall;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * How many whole requests a second the slots allow of those asked, when important classes go first.
 *
 * <p>Immutable. A request holds a slot of a service while it works there and while it waits for its inner calls, at the
 * mean service times and without any queue. Classes are admitted by rank; classes of one rank share what is left
 * evenly.
 */
final class CapacityBound {

    private static final int STEPS = 1000;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Topology topology;
    private final Scenario scenario;
    private final Configuration configuration;

    private CapacityBound(Topology topology, Scenario scenario, Configuration configuration) {
        this.topology = topology;
        this.scenario = scenario;
        this.configuration = configuration;
    }

    static CapacityBound of(Topology topology, Scenario scenario) throws ConfigurationException {
        return new CapacityBound(topology, scenario, Configuration.defaults(topology.deployment()));
    }

    /** Mean over the whole run, in requests a second. */
    double mean() {
        return mean(new Scenario.Span(0, 1));
    }

    /** Mean over a span of the run, in requests a second. */
    double mean(Scenario.Span span) {
        double sum = 0;
        int count = 0;
        for (int step = 0; step < STEPS; step++) {
            double share = (step + 0.5) / STEPS;
            if (span.contains(share)) {
                sum += at(share);
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    /** Requests a second at that share of the run. */
    double at(double share) {
        Map<String, Double> free = new HashMap<>();
        topology.services()
                .forEach(service -> free.put(service.name(), (double) service.instances() * service.slots()));
        double admitted = 0;
        for (List<CallerClass> rank : ranks().values()) {
            admitted += admit(rank, share, free);
        }
        return admitted;
    }

    private Map<Integer, List<CallerClass>> ranks() {
        Map<Integer, List<CallerClass>> ranks = new TreeMap<>();
        for (CallerClass callers : topology.callers()) {
            int rank = route(callers.method(), callers.path())
                    .map(configuration::priorityOf)
                    .orElseThrow()
                    .rank();
            ranks.merge(
                    rank,
                    ImmutableList.of(callers),
                    (left, right) -> ImmutableList.<CallerClass>builder()
                            .addAll(left)
                            .addAll(right)
                            .build());
        }
        return ranks;
    }

    private double admit(List<CallerClass> rank, double share, Map<String, Double> free) {
        double asked = 0;
        Map<String, Double> needed = new HashMap<>();
        for (CallerClass callers : rank) {
            double rate = callers.perSecond() * scenario.loadFactor(share);
            asked += rate;
            Map<String, Double> seconds = slotSeconds(callers, share);
            seconds.forEach((service, time) -> needed.merge(service, rate * time, Double::sum));
        }
        double part = 1;
        for (Map.Entry<String, Double> need : needed.entrySet()) {
            if (need.getValue() > 0) {
                part = Math.min(part, Math.max(0, free.get(need.getKey())) / need.getValue());
            }
        }
        for (Map.Entry<String, Double> need : needed.entrySet()) {
            free.merge(need.getKey(), -part * need.getValue(), Double::sum);
        }
        return part * asked;
    }

    /** Slot time of one request of the class at each service, in seconds. */
    Map<String, Double> slotSeconds(CallerClass callers, double share) {
        Map<String, Double> seconds = new HashMap<>();
        visit(callers.method(), callers.path(), share, seconds);
        return seconds;
    }

    private double visit(String method, String path, double share, Map<String, Double> seconds) {
        String name = route(method, path).orElseThrow().service().value();
        Service service = topology.services().stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst()
                .orElseThrow();
        double time = service.millis() / MILLIS_PER_SECOND * scenario.slowFactor(name, share);
        for (InnerCall call : service.innerCalls()) {
            if ((call.on() == null || call.on().equals(method)) && path.startsWith(call.prefix())) {
                time += visit(call.method(), call.path(), share, seconds);
            }
        }
        seconds.merge(name, time, Double::sum);
        return time;
    }

    private Optional<Route> route(String method, String path) {
        return configuration.find(method, path);
    }
}

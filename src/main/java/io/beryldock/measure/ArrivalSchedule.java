package io.beryldock.measure;

import io.beryldock.measure.Topology.CallerClass;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * When which callers ask, as a Poisson process whose rate follows the scenario: open loop, whatever the answers.
 *
 * <p>Not thread safe. The same seed gives the same arrivals.
 */
final class ArrivalSchedule {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int ITEMS = 1000;

    private final Topology topology;
    private final Scenario scenario;
    private final SplittableRandom random;
    private final double baseRate;
    private final long length;
    private final String prefix;
    private double now;
    private long count;

    private ArrivalSchedule(Topology topology, Scenario scenario, long seed, String prefix) {
        this.prefix = prefix;
        this.topology = topology;
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        this.baseRate =
                topology.callers().stream().mapToDouble(CallerClass::perSecond).sum();
        this.length = scenario.length().toNanos();
    }

    static ArrivalSchedule create(Topology topology, Scenario scenario, long seed) {
        return new ArrivalSchedule(topology, scenario, seed, "r");
    }

    /** The usual demand before a run, with tokens that the run's never equal. */
    static ArrivalSchedule ofWarmUp(Topology topology, Scenario scenario, long seed) {
        return new ArrivalSchedule(topology, scenario.warmUp(), ~seed, "w");
    }

    /** The next request, due at its {@code asked} after the run's start; empty once the run is over. */
    Optional<UserRequest> next() {
        // Thinning: draws at the highest rate and keeps each with the share that the rate has at its time.
        double highest = highestFactor();
        while (true) {
            now += -Math.log(1 - random.nextDouble()) / (baseRate * highest) * NANOS_PER_SECOND;
            if (now >= length) {
                return Optional.empty();
            }
            if (random.nextDouble() * highest < scenario.loadFactor(now / length)) {
                return Optional.of(request());
            }
        }
    }

    private double highestFactor() {
        return Math.max(
                1,
                scenario.load().stream()
                        .mapToDouble(Scenario.LoadStep::factor)
                        .reduce(1, (left, right) -> left * Math.max(1, right)));
    }

    private UserRequest request() {
        CallerClass callers = pick(topology.callers(), random.nextDouble() * baseRate);
        String path = callers.path() + "/" + random.nextInt(ITEMS);
        count++;
        return new UserRequest(callers, prefix + count, path, random.nextInt(topology.users()), (long) now);
    }

    private static CallerClass pick(List<CallerClass> all, double point) {
        double left = point;
        for (CallerClass callers : all) {
            left -= callers.perSecond();
            if (left < 0) {
                return callers;
            }
        }
        return all.get(all.size() - 1);
    }
}

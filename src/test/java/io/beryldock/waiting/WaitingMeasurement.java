package io.beryldock.waiting;

import static io.beryldock.waiting.EntryFixture.BROWSE;
import static io.beryldock.waiting.EntryFixture.LOOKUP;
import static io.beryldock.waiting.EntryFixture.ORDER;

import com.google.common.collect.ImmutableMap;
import io.beryldock.waiting.EntryFixture.Kind;
import io.beryldock.waiting.EntryFixture.TestCaller;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Prints how each waiting order serves callers of three kinds and ten organisations; run by hand with the seed as
 * argument.
 */
public final class WaitingMeasurement {

    private static final double TREES_PER_SECOND = 100;
    private static final double SLOTS = TREES_PER_SECOND * BROWSE.usual() / 1_000.0;
    private static final int ORGANISATIONS = 10;

    /** Share of the requested slot time by kind. */
    private static final ImmutableMap<Kind, Double> SHARES = ImmutableMap.of(ORDER, 0.3, LOOKUP, 0.2, BROWSE, 0.5);

    private static final ImmutableMap<String, WaitingOrder> ORDERS = ImmutableMap.of(
            "first come, first served",
            served -> Comparator.comparingLong(WaitingLine::firstOrder),
            "rank only",
            served -> Comparator.<WaitingLine>comparingInt(
                            line -> line.claimant().rank())
                    .thenComparingLong(WaitingLine::firstOrder),
            "shortest job",
            served -> Comparator.<WaitingLine>comparingLong(line -> line.tree().equals(LOOKUP.tree()) ? 0 : 1)
                    .thenComparingLong(WaitingLine::firstOrder),
            "kept",
            WaitingOrder.fair());

    private WaitingMeasurement() {}

    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        System.out.println("order                     load           orders  late   lookups late   browsing late"
                + "   worst organisation  refused twice");
        ORDERS.forEach((name, order) -> {
            print(name, "burst 2.6, 6 s", new Run(seed, order, 0.8, 2.6, 1));
            print(name, "lasting 1.6", new Run(seed, order, 1.6, 1.6, 1));
            print(name, "one at 7 times", new Run(seed, order, 0.7, 0.7, 7));
        });
    }

    private static void print(String order, String load, Run run) {
        run.run();
        System.out.printf(
                Locale.ROOT,
                "%-25s %-14s %.3f  %.3f  %.3f   %.3f  %.3f    %.3f  %.3f               %.3f%n",
                order,
                load,
                run.inTime(ORDER),
                run.late(ORDER),
                run.inTime(LOOKUP),
                run.late(LOOKUP),
                run.inTime(BROWSE),
                run.late(BROWSE),
                run.worstOrganisation(),
                run.refusedTwice());
    }

    /**
     * A run of 20 s, with another demand from second 5 to 11 and one organisation that requests more than the others.
     */
    private static final class Run {
        private final EntryFixture fixture;
        private final double demand;
        private final double middleDemand;
        private final double firstFactor;
        private final List<TestCaller> all = new ArrayList<>();

        Run(long seed, WaitingOrder order, double demand, double middleDemand, double firstFactor) {
            this.fixture = EntryFixture.ordered(seed, order);
            this.demand = demand;
            this.middleDemand = middleDemand;
            this.firstFactor = firstFactor;
        }

        void run() {
            fixture.credits.fill(fixture.timers, SLOTS);
            load(demand, 20_000);
            fixture.advance(5_000);
            load(middleDemand - demand, 11_000);
            fixture.advance(25_000);
        }

        private void load(double factor, long untilMillis) {
            for (int i = 0; i < ORGANISATIONS && factor > 0; i++) {
                String name = "organisation-" + i;
                double rate = factor * TREES_PER_SECOND / ORGANISATIONS * (i == 0 ? firstFactor : 1);
                SHARES.forEach((kind, share) -> fixture.load(
                        kind,
                        share * rate * BROWSE.usual() / kind.usual(),
                        () -> fixture.nowMillis() < untilMillis,
                        requested -> fixture.askAndRetry(requested, name),
                        all));
            }
        }

        double inTime(Kind kind) {
            return share(
                    of(kind),
                    all.stream()
                            .filter(caller -> caller.kind.equals(kind) && caller.meetsObjective(1))
                            .count());
        }

        double late(Kind kind) {
            return share(
                    of(kind),
                    all.stream()
                            .filter(caller -> caller.kind.equals(kind) && caller.covered() && !caller.meetsObjective(1))
                            .count());
        }

        /**
         * Returns the share of requests answered in time of the organisation with the lowest share, except the one that
         * may request more.
         */
        double worstOrganisation() {
            Map<String, long[]> served = new HashMap<>();
            for (TestCaller caller : all) {
                long[] counts =
                        served.computeIfAbsent(caller.organisation.orElseThrow().value(), name -> new long[2]);
                counts[0]++;
                counts[1] += caller.meetsObjective(1) ? 1 : 0;
            }
            served.remove("organisation-0");
            return served.values().stream()
                    .mapToDouble(counts -> share(counts[0], counts[1]))
                    .min()
                    .orElse(0);
        }

        double refusedTwice() {
            return share(
                    all.size(),
                    all.stream()
                            .filter(caller -> caller.attempts > 1 && caller.refused())
                            .count());
        }

        private long of(Kind kind) {
            return all.stream().filter(caller -> caller.kind.equals(kind)).count();
        }

        private static double share(long whole, long part) {
            return whole == 0 ? 0 : (double) part / whole;
        }
    }
}

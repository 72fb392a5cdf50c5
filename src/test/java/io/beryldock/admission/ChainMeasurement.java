package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.admission.ChainSimulation.Stage;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/** Prints the results of the chain simulation for the scenarios of the design note; run by hand. */
public final class ChainMeasurement {

    static final ImmutableList<Stage> CHAIN =
            ImmutableList.of(new Stage(50, 10, 1), new Stage(50, 10, 1), new Stage(15, 20, 1));

    static final ImmutableList<Stage> WIDE_ROOT =
            ImmutableList.of(new Stage(200, 10, 1), new Stage(200, 10, 1), new Stage(15, 20, 1));
    static final ImmutableList<Stage> MANY_CALLS =
            ImmutableList.of(new Stage(200, 10, 1), new Stage(200, 10, 4), new Stage(15, 10, 1));

    private ChainMeasurement() {}

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        System.out.println(
                "scenario             door  goodput wasted  rank0   rank3   rank6  atDoor p99ms0 recovery broken");
        for (boolean shedAtEntry : new boolean[] {true, false}) {
            for (int seed = 1; seed <= seeds; seed++) {
                print(
                        "one 3x",
                        shedAtEntry,
                        singleService(seed, shedAtEntry, 15, 20, 3).run());
                print(
                        "one 3x small",
                        shedAtEntry,
                        singleService(seed, shedAtEntry, 3, 50, 3).run());
                print(
                        "chain 3x",
                        shedAtEntry,
                        chain(seed, shedAtEntry, CHAIN, 9).run());
                print(
                        "chain 3x many doors",
                        shedAtEntry,
                        chain(seed, shedAtEntry, CHAIN, 200).run());
                print(
                        "wide 3x",
                        shedAtEntry,
                        chain(seed, shedAtEntry, WIDE_ROOT, 9).run());
                print(
                        "many calls 3x",
                        shedAtEntry,
                        chain(seed, shedAtEntry, MANY_CALLS, 9).run());
                print(
                        "chain slow spell",
                        shedAtEntry,
                        slowPeriod(seed, shedAtEntry, 0.8).run(4, 7));
                print(
                        "chain slow and surge",
                        shedAtEntry,
                        slowPeriod(seed, shedAtEntry, 1.3).run(4, 7));
                print("chain surge ends", shedAtEntry, surge(seed, shedAtEntry).run(4, 7));
            }
        }
    }

    private static ChainSimulation singleService(
            long seed, boolean shedAtEntry, int slots, double millis, double load) {
        return simulate(seed, shedAtEntry, ImmutableList.of(new Stage(slots, millis, 1)), 9, load, t -> 1, 10);
    }

    static ChainSimulation chain(long seed, boolean shedAtEntry, ImmutableList<Stage> stages, int entries) {
        return simulate(seed, shedAtEntry, stages, entries, 3, t -> 1, 10);
    }

    static ChainSimulation slowPeriod(long seed, boolean shedAtEntry, double load) {
        return simulate(seed, shedAtEntry, CHAIN, 9, load, t -> t >= 4 && t < 7 ? 5 : 1, 12);
    }

    private static ChainSimulation surge(long seed, boolean shedAtEntry) {
        ChainSimulation.Setup base = setup(seed, shedAtEntry, CHAIN, 9, t -> 1, t -> 1, 12);
        double capacity = base.capacity();
        return new ChainSimulation(
                setup(seed, shedAtEntry, CHAIN, 9, t -> capacity * (t >= 4 && t < 7 ? 5 : 0.8), t -> 1, 12));
    }

    static ChainSimulation simulate(
            long seed,
            boolean shedAtEntry,
            ImmutableList<Stage> stages,
            int entries,
            double load,
            DoubleUnaryOperator slowness,
            int seconds) {
        ChainSimulation.Setup base = setup(seed, shedAtEntry, stages, entries, t -> 1, slowness, seconds);
        double demand = load * base.capacity();
        return new ChainSimulation(setup(seed, shedAtEntry, stages, entries, t -> demand, slowness, seconds));
    }

    private static ChainSimulation.Setup setup(
            long seed,
            boolean shedAtEntry,
            ImmutableList<Stage> stages,
            int entries,
            DoubleUnaryOperator demand,
            DoubleUnaryOperator slowness,
            int seconds) {
        return new ChainSimulation.Setup(
                seed,
                seconds,
                stages,
                3,
                entries,
                shedAtEntry,
                GateSettings.defaults(),
                1,
                Integer.MAX_VALUE,
                demand,
                slowness,
                3,
                1);
    }

    private static void print(String scenario, boolean shedAtEntry, ChainSimulation.Result result) {
        System.out.printf(
                Locale.ROOT,
                "%-20s %-5s %7.3f %6.3f %7.4f %7.4f %7.4f %6.3f %6.0f %8.2f %d%n",
                scenario,
                shedAtEntry,
                result.goodputShare(),
                result.wastedShare(),
                result.answeredRank0(),
                result.answeredRank3(),
                result.answeredRank6(),
                result.shedAtEntry(),
                result.rank0P99Millis(),
                result.recoverySeconds(),
                result.violations());
    }
}

package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.admission.ChainSimulation.Result;
import io.beryldock.admission.ChainSimulation.Setup;
import io.beryldock.admission.ChainSimulation.Stage;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/**
 * Prints the results of each limit strategy on one target with 15 slots and 20 ms service time; run by hand with the
 * seed as argument.
 */
public final class LimitMeasurement {

    private static final int SLOTS = 15;
    private static final double MILLIS = 20;
    private static final int NEVER_REFUSES = Integer.MAX_VALUE;
    private static final ImmutableMap<String, LimitStrategy> STRATEGIES = ImmutableMap.of(
            "fixed 15",
            LimitStrategies.fixed(SLOTS),
            "fixed 60",
            LimitStrategies.fixed(4 * SLOTS),
            "standard",
            LimitStrategies.standard(),
            "aimd",
            LimitStrategies.aimd(),
            "gradient",
            LimitStrategies.gradient(),
            "vegas",
            LimitStrategies.vegas());

    private LimitMeasurement() {}

    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        System.out.println("strategy   scenario              goodput  rank0  p99ms0  recovery limit");
        STRATEGIES.forEach((name, strategy) -> {
            Case base = new Case(seed, GateSettings.defaults().withStrategy(strategy), 1, NEVER_REFUSES, 3, t -> 1, 3);
            print(name, "announced 15", base);
            print(name, "announced 60", base.announced(4));
            print(name, "announced 60, refuses", base.announced(4).refuseAbove(SLOTS));
            print(name, "announced, slow 4-7s", base.slowness(LimitMeasurement::slowPeriodFactor));
            print(name, "not announced", base.announced(0));
            print(name, "not ann., slow 4-7s", base.announced(0).slowness(LimitMeasurement::slowPeriodFactor));
            print(name, "not ann., cold start", base.announced(0).fromStart(t -> Math.max(1, 5 - 2 * t)));
            print(name, "not ann., load 0.7", base.announced(0).load(0.7));
        });
    }

    private static double slowPeriodFactor(double second) {
        return second >= 4 && second < 7 ? 5 : 1;
    }

    /** Parameters of one simulation run. */
    private record Case(
            long seed,
            GateSettings gate,
            double announcedFactor,
            int refuseAbove,
            double demandFactor,
            DoubleUnaryOperator slow,
            double from) {

        Case announced(double factor) {
            return new Case(seed, gate, factor, refuseAbove, demandFactor, slow, from);
        }

        Case refuseAbove(int inside) {
            return new Case(seed, gate, announcedFactor, inside, demandFactor, slow, from);
        }

        Case load(double factor) {
            return new Case(seed, gate, announcedFactor, refuseAbove, factor, slow, from);
        }

        Case slowness(DoubleUnaryOperator other) {
            return new Case(seed, gate, announcedFactor, refuseAbove, demandFactor, other, from);
        }

        Case fromStart(DoubleUnaryOperator other) {
            return new Case(seed, gate, announcedFactor, refuseAbove, demandFactor, other, 0);
        }

        ChainSimulation simulation() {
            double demand = demandFactor * setup(t -> 1).capacity();
            return new ChainSimulation(setup(t -> demand));
        }

        private Setup setup(DoubleUnaryOperator demand) {
            ImmutableList<Stage> stages = ImmutableList.of(new Stage(SLOTS, MILLIS, 1));
            return new Setup(seed, 14, stages, 1, 1, false, gate, announcedFactor, refuseAbove, demand, slow, from, 1);
        }
    }

    private static void print(String strategy, String scenario, Case of) {
        ChainSimulation simulation = of.simulation();
        Result result = simulation.run(4, 7);
        System.out.printf(
                Locale.ROOT,
                "%-10s %-21s %7.3f %7.4f %6.0f %8.2f %5d%n",
                strategy,
                scenario,
                result.goodputShare(),
                result.answeredRank0(),
                result.rank0P99Millis(),
                result.recoverySeconds(),
                simulation.chain.get(0).instances.get(0).gate.snapshot().limit());
    }
}

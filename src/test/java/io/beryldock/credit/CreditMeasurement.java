package io.beryldock.credit;

import io.beryldock.credit.CreditSimulation.Tree;
import java.time.Duration;
import java.util.Locale;

/**
 * Prints the results of the simulation with admission levels alone and with credits, for the design note. Run by hand.
 */
public final class CreditMeasurement {

    private static final Duration LENGTH = Duration.ofSeconds(5);
    private static final double NANOS_PER_MILLI = 1e6;

    private CreditMeasurement() {}

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        System.out.println(
                "above ms  way      load  seed  served  wasted  used  in100ms  wait ms  messages/s  bytes/s");
        for (double load : new double[] {1.3, 1.7, 2.5}) {
            for (int seed = 1; seed <= seeds; seed++) {
                print(new Setup(false, 40, 41), load, seed);
                print(new Setup(true, 40, 41), load, seed);
                print(new Setup(false, 200, 1000), load, seed);
                print(new Setup(true, 200, 1000), load, seed);
            }
        }
    }

    /** Whether entry nodes use credits, and the range of the time that the upper levels of a tree take. */
    private record Setup(boolean credits, int minUpperMillis, int maxUpperMillis) {}

    /** Leaves out the first second, in which entry nodes learn of the shortage. */
    private static void print(Setup setup, double load, int seed) {
        CreditSimulation simulation = new CreditSimulation(setup.credits(), seed);
        simulation.setUpperLevelTime(setup.minUpperMillis(), setup.maxUpperMillis());
        simulation.run(Duration.ofSeconds(2), 0.6);
        simulation.run(Duration.ofSeconds(1), load);
        long from = simulation.now();
        double busy = simulation.busyNanos();
        int messages = simulation.fleet().messages();
        long bytes = simulation.fleet().bytes();
        simulation.run(LENGTH, load);
        long served = simulation.startedSince(from).stream()
                .filter(tree -> !tree.failed())
                .count();
        System.out.printf(
                Locale.ROOT,
                "%8d  %-8s %4.1f  %4d  %6.3f  %6.3f  %4.2f  %7.2f  %7.0f  %10d  %7d%n",
                setup.minUpperMillis(),
                setup.credits() ? "credits" : "levels",
                load,
                seed,
                served / (CreditSimulation.CAPACITY * LENGTH.toSeconds()),
                simulation.wastedShare(from),
                simulation.usedShare(busy, LENGTH),
                simulation.mostCovered(from, Duration.ofMillis(100)),
                simulation.startedSince(from).stream()
                                .mapToLong(Tree::waitedNanos)
                                .average()
                                .orElse(0)
                        / NANOS_PER_MILLI,
                (simulation.fleet().messages() - messages) / LENGTH.toSeconds(),
                (simulation.fleet().bytes() - bytes) / LENGTH.toSeconds());
    }
}

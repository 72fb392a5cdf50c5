package io.beryldock.credit;

import io.beryldock.credit.CreditReplay.Tree;
import java.time.Duration;
import java.util.Locale;

/** Prints what the replay yields by levels alone and with credits, for the design note; run by hand. */
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
                print(new Way(false, 40, 41), load, seed);
                print(new Way(true, 40, 41), load, seed);
                print(new Way(false, 200, 1000), load, seed);
                print(new Way(true, 200, 1000), load, seed);
            }
        }
    }

    /** How entries decide, and how long the levels above the scarce service take. */
    private record Way(boolean credits, int leastAbove, int mostAbove) {}

    /** The first second, in which entries learn of the shortage, does not count. */
    private static void print(Way way, double load, int seed) {
        CreditReplay replay = new CreditReplay(way.credits(), seed);
        replay.setAbove(way.leastAbove(), way.mostAbove());
        replay.play(Duration.ofSeconds(2), 0.6);
        replay.play(Duration.ofSeconds(1), load);
        long from = replay.now();
        double busy = replay.busyNanos();
        int messages = replay.fleet().messages();
        long bytes = replay.fleet().bytes();
        replay.play(LENGTH, load);
        long served = replay.startedSince(from).stream()
                .filter(tree -> !tree.failed())
                .count();
        System.out.printf(
                Locale.ROOT,
                "%8d  %-8s %4.1f  %4d  %6.3f  %6.3f  %4.2f  %7.2f  %7.0f  %10d  %7d%n",
                way.leastAbove(),
                way.credits() ? "credits" : "levels",
                load,
                seed,
                served / (CreditReplay.ROOM * LENGTH.toSeconds()),
                replay.wastedShare(from),
                replay.usedShare(busy, LENGTH),
                replay.mostCovered(from, Duration.ofMillis(100)),
                replay.startedSince(from).stream()
                                .mapToLong(Tree::waitedNanos)
                                .average()
                                .orElse(0)
                        / NANOS_PER_MILLI,
                (replay.fleet().messages() - messages) / LENGTH.toSeconds(),
                (replay.fleet().bytes() - bytes) / LENGTH.toSeconds());
    }
}

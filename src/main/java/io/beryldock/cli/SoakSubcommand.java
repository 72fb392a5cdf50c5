package io.beryldock.cli;

import com.google.common.collect.ImmutableSet;
import io.beryldock.platform.SoakSurroundings;
import io.beryldock.soak.FaultAction;
import io.beryldock.soak.SoakReport;
import io.beryldock.soak.SoakRun;
import io.beryldock.soak.TargetProfile;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.kohsuke.args4j.Option;

/** Runs the fault soak; exits 0 only when every promise held for every seed. */
public final class SoakSubcommand implements Subcommand {

    private static final double MILLIS_PER_MINUTE = 60_000;

    @Option(name = "--seed", metaVar = "N", required = true, usage = "seed of the faults and of the requests")
    private long seed;

    @Option(name = "--minutes", metaVar = "M", usage = "length of the load, for example 0.5")
    private double minutes = 1;

    @Option(name = "--nodes", metaVar = "K", usage = "node processes, 3 or more")
    private int nodes = 4;

    @Option(name = "--seeds", metaVar = "COUNT", usage = "so many seeds, from --seed on")
    private int seeds = 1;

    @Option(name = "--jobs", metaVar = "J", usage = "runs side by side")
    private int jobs = 1;

    @Option(name = "--targets", usage = "how targets behave")
    private TargetProfile targets = TargetProfile.CHANGING;

    @Option(
            name = "--only",
            metaVar = "FAULT",
            usage = "play only these faults of the plan; repeat the option for several")
    private List<FaultAction> only = new ArrayList<>();

    @Option(name = "--plan-only", usage = "print the faults and run nothing")
    private boolean planOnly;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        if (nodes < 3 || minutes <= 0 || seeds < 1 || jobs < 1) {
            err.println("beryldock soak: --nodes is 3 or more; --minutes, --seeds and --jobs are above 0");
            return USAGE;
        }
        if (planOnly) {
            for (long each = seed; each < seed + seeds; each++) {
                out.printf("seed %d%n%s", each, plan(each).text());
            }
            return OK;
        }
        return runAll(out) ? OK : FAILED;
    }

    private boolean runAll(PrintStream out) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        try {
            List<Future<Boolean>> runs = new ArrayList<>();
            for (long each = seed; each < seed + seeds; each++) {
                SoakRun.Plan plan = plan(each);
                runs.add(pool.submit(() -> runOne(plan, out)));
            }
            boolean held = true;
            for (Future<Boolean> run : runs) {
                held &= run.get();
            }
            return held;
        } finally {
            pool.shutdownNow();
        }
    }

    private SoakRun.Plan plan(long each) {
        Duration length = Duration.ofMillis((long) (minutes * MILLIS_PER_MINUTE));
        return new SoakRun.Plan(each, length, nodes, targets, ImmutableSet.copyOf(only));
    }

    private static boolean runOne(SoakRun.Plan plan, PrintStream out) throws Exception {
        SoakReport report = SoakRun.play(plan, SoakSurroundings.start(plan.seed(), plan.profile()));
        synchronized (out) {
            report.print(out);
        }
        return report.held();
    }
}

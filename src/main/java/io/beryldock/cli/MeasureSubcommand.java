package io.beryldock.cli;

import com.google.common.collect.ImmutableList;
import io.beryldock.measure.ScenarioCatalogue;
import io.beryldock.measure.ScenarioResult;
import io.beryldock.measure.ScenarioRunner;
import io.beryldock.settings.NodeSettings.Policy;
import io.beryldock.settings.SettingsException;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** Measures a scenario: one JSON line a policy on standard output, a table on standard error. */
public final class MeasureSubcommand implements Subcommand {

    @Option(name = "--scenario", required = true, metaVar = "NAME", usage = "scenario, see docs/MEASURE.md")
    private String scenario = "";

    @Option(
            name = "--policy",
            metaVar = "full|none|both",
            usage = "with all of the system, without, or one after the other")
    private String policy = "full";

    @Option(name = "--seed", metaVar = "S", usage = "seed of arrivals and service times")
    private long seed = 1;

    @Option(name = "--seconds", metaVar = "N", usage = "length of a run in place of the scenario's own")
    private int seconds;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        ImmutableList<Policy> policies = policies();
        if (policies.isEmpty() || !ScenarioCatalogue.NAMES.contains(scenario)) {
            err.println("beryldock measure: --policy is full, none or both; --scenario is one of "
                    + String.join(", ", ScenarioCatalogue.NAMES));
            return USAGE;
        }
        boolean held = true;
        for (Policy each : policies) {
            held &= measure(each, out, err);
        }
        return held ? OK : FAILED;
    }

    private boolean measure(Policy each, PrintStream out, PrintStream err) throws Exception {
        ScenarioRunner runner;
        try {
            runner = ScenarioRunner.of(scenario, each, seed, seconds, (time, asked, ended) -> {});
        } catch (SettingsException e) {
            throw new IllegalStateException("scenario " + scenario + " in the program is wrong: " + e.getMessage(), e);
        }
        ScenarioResult result = runner.run();
        err.printf("%nscenario %s, policy %s, seed %d%n", scenario, each, seed);
        result.print(err);
        out.println(result.toJson());
        out.flush();
        // What the baseline breaks is a finding, not a failure of the system.
        return each == Policy.NONE || result.invariantsHeld();
    }

    private ImmutableList<Policy> policies() {
        return switch (policy) {
            case "full" -> ImmutableList.of(Policy.FULL);
            case "none" -> ImmutableList.of(Policy.NONE);
            case "both" -> ImmutableList.of(Policy.NONE, Policy.FULL);
            default -> ImmutableList.of();
        };
    }
}

package io.beryldock.demo;

import io.beryldock.measure.ScenarioResult;
import io.beryldock.measure.ScenarioRunner;
import io.beryldock.settings.NodeSettings.Policy;
import java.io.PrintStream;

/** Runs the demonstration and tells what happens while it runs. Used by one thread. */
public final class DemoRunner {

    private static final String SCENARIO = "demo";
    private static final String STORY = """
            One process, all on loopback: a stand-in of the platform, two data centres, and the services
            lists, orders, catalogue and holdings, three targets each, every target with its own node.
            Readers open lists and browse, librarians order. In the middle holdings takes five times as long.
            """;

    private final PrintStream out;

    private DemoRunner(PrintStream out) {
        this.out = out;
    }

    public static DemoRunner create(PrintStream out) {
        return new DemoRunner(out);
    }

    /** Runs for that many seconds, 0 for the usual length; true when every promise held. */
    public boolean run(long seed, int seconds) throws Exception {
        out.println(STORY);
        out.println("starting the nodes ...");
        ScenarioRunner runner = ScenarioRunner.of(SCENARIO, Policy.FULL, seed, seconds, this::progress);
        ScenarioResult result = runner.run();
        out.printf("%n%n");
        result.print(out);
        out.println(result.invariantsHeld() ? "every promise held" : "a promise was broken: see the lines above");
        return result.invariantsHeld();
    }

    /** One line, written over itself. */
    private void progress(double seconds, long asked, long ended) {
        out.printf("\r%5.1f s: %6d asked, %5d under way", seconds, asked, asked - ended);
        out.flush();
    }
}

package io.beryldock.cli;

import io.beryldock.demo.DemoRunner;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** Shows a small deployment at work; exits 0 only when every promise held. */
public final class DemoSubcommand implements Subcommand {

    @Option(name = "--seconds", metaVar = "N", usage = "length of the load")
    private int seconds;

    @Option(name = "--seed", metaVar = "S", usage = "seed of arrivals and service times")
    private long seed = 1;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        return DemoRunner.create(out).run(seed, seconds) ? OK : FAILED;
    }
}

package io.beryldock.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Asks and commands a node in the operators' language.
 *
 * <p>Exit codes: 0 done; 1 failed, refused or in conflict with another operator; 2 not a statement, or a wrong option;
 * 3 it is not known whether a change was made; 4 the node can't be reached, or some nodes did not answer.
 */
public final class CtlSubcommand implements Subcommand {

    private static final Duration WATCH_PERIOD = Duration.ofSeconds(2);

    @Option(name = "--node", metaVar = "IP:PORT", required = true, usage = "admin listener of any node")
    private String node;

    @Option(name = "--token-file", metaVar = "FILE", usage = "file with the operators' token")
    private String tokenFile;

    @Option(name = "--json", usage = "print one JSON object for each response")
    private boolean json;

    @Argument(metaVar = "STATEMENT", usage = "for example \"show shed by class\"; a prompt without one")
    private List<String> statement = new ArrayList<>();

    @Override
    public int run(PrintStream out, PrintStream err) throws InterruptedException {
        try (OperatorClient client = OperatorOptions.open(node, tokenFile)) {
            StatementRunner runner =
                    StatementRunner.create(client::ask, () -> Thread.sleep(WATCH_PERIOD.toMillis()), json, out, err);
            return statement.isEmpty()
                    ? OperatorPrompt.run(runner, node, err)
                    : runner.run(String.join(" ", statement));
        } catch (OperatorOptions.OptionException e) {
            err.println("beryldock ctl: " + e.getMessage());
            return USAGE;
        }
    }
}

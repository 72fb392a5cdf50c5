package io.beryldock.cli;

import java.io.PrintStream;
import java.util.Arrays;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Picks the subcommand, parses its arguments and runs it. Stateless. */
public final class CommandLineRunner {

    private CommandLineRunner() {}

    /** Runs the subcommand that the first argument names; returns the exit code. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        SubcommandRegistry.Entry entry = args.length == 0 ? null : SubcommandRegistry.ENTRIES.get(args[0]);
        if (entry == null) {
            return usage(args, out, err);
        }
        Subcommand subcommand = entry.factory().get();
        CmdLineParser parser = new CmdLineParser(subcommand);
        try {
            parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
        } catch (CmdLineException e) {
            err.println("beryldock " + args[0] + ": " + e.getMessage());
            parser.printUsage(err);
            return Subcommand.USAGE;
        }
        return runParsed(args[0], subcommand, out, err);
    }

    private static int runParsed(String name, Subcommand subcommand, PrintStream out, PrintStream err) {
        try {
            return subcommand.run(out, err);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Subcommand.FAILED;
        } catch (Exception e) {
            err.println("beryldock " + name + ": " + e.getMessage());
            return Subcommand.FAILED;
        }
    }

    private static int usage(String[] args, PrintStream out, PrintStream err) {
        boolean asked = args.length > 0 && (args[0].equals("help") || args[0].equals("--help"));
        PrintStream stream = asked ? out : err;
        if (args.length > 0 && !asked) {
            stream.println("beryldock: no subcommand '" + args[0] + "'");
        }
        stream.println("usage: beryldock SUBCOMMAND [options]");
        SubcommandRegistry.ENTRIES.forEach((name, entry) -> stream.printf("  %-18s %s%n", name, entry.help()));
        return asked ? Subcommand.OK : Subcommand.USAGE;
    }
}

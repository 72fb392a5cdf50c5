package io.beryldock.cli;

import java.io.PrintStream;

/** One subcommand of the program; args4j fills its fields before it runs. */
public interface Subcommand {

    /** Exit code of a run that did what it was asked. */
    int OK = 0;

    /** Exit code when an invariant or a check failed. */
    int FAILED = 1;

    /** Exit code of a wrong argument or setting. */
    int USAGE = 2;

    /** Runs to the end; returns the exit code. */
    int run(PrintStream out, PrintStream err) throws Exception;
}

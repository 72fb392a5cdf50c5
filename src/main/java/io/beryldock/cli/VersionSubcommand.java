package io.beryldock.cli;

import java.io.PrintStream;

/** Prints the version of this build. */
public final class VersionSubcommand implements Subcommand {

    @Override
    public int run(PrintStream out, PrintStream err) {
        String version = VersionSubcommand.class.getPackage().getImplementationVersion();
        out.println("beryldock " + (version == null ? "development" : version));
        return OK;
    }
}

package io.beryldock;

import io.beryldock.cli.CommandLineRunner;
import io.beryldock.logging.JsonLogging;
import io.beryldock.logging.JsonLogging.Output;

/** Entry point of the one program. */
public final class Main {

    /** System property with the level of the logs. */
    private static final String LOG_LEVEL = "beryldock.log";

    /** The subcommand whose standard output is a log. */
    private static final String LOGS_TO_OUTPUT = "platform-node";

    private Main() {}

    public static void main(String[] args) {
        boolean isNode = args.length > 0 && args[0].equals(LOGS_TO_OUTPUT);
        JsonLogging.start(
                System.getProperty(LOG_LEVEL, isNode ? "INFO" : "WARN"),
                isNode ? Output.STANDARD_OUTPUT : Output.STANDARD_ERROR);
        int code = CommandLineRunner.run(args, System.out, System.err);
        System.exit(code);
    }
}

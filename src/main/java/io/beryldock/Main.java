package io.beryldock;

import io.beryldock.cli.CommandLineRunner;
import io.beryldock.logging.JsonLogging;

/** Entry point of the one program. */
public final class Main {

    /** System property with the level of the logs. */
    private static final String LOG_LEVEL = "beryldock.log";

    private Main() {}

    public static void main(String[] args) {
        JsonLogging.start(System.getProperty(LOG_LEVEL, "WARN"));
        int code = CommandLineRunner.run(args, System.out, System.err);
        System.exit(code);
    }
}

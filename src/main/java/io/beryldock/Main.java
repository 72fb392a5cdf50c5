package io.beryldock;

import io.beryldock.cli.CommandLineRunner;

/** Entry point of the one program. */
public final class Main {

    private Main() {}

    public static void main(String[] args) {
        int code = CommandLineRunner.run(args, System.out, System.err);
        System.exit(code);
    }
}

package io.beryldock.cli;

import io.beryldock.cli.OperatorClientException.Kind;
import io.beryldock.command.ChangeStatement;
import io.beryldock.command.JsonRenderer;
import io.beryldock.command.OperatorResponse;
import io.beryldock.command.Statement;
import io.beryldock.command.StatementException;
import io.beryldock.command.StatementParser;
import io.beryldock.command.TableRenderer;
import io.beryldock.command.WatchStatement;
import java.io.PrintStream;
import java.util.Optional;

/** Has a node carry statements out and prints the responses. Not thread safe. */
final class StatementRunner {

    private final Asker asker;
    private final Pause pause;
    private final boolean json;
    private final PrintStream out;
    private final PrintStream err;

    private StatementRunner(Asker asker, Pause pause, boolean json, PrintStream out, PrintStream err) {
        this.asker = asker;
        this.pause = pause;
        this.json = json;
        this.out = out;
        this.err = err;
    }

    static StatementRunner create(Asker asker, Pause pause, boolean json, PrintStream out, PrintStream err) {
        return new StatementRunner(asker, pause, json, out, err);
    }

    /** Sends a statement to a node. */
    @FunctionalInterface
    interface Asker {
        OperatorResponse ask(String statement) throws OperatorClientException;
    }

    /** Waits between two rounds of a watched statement. */
    @FunctionalInterface
    interface Pause {
        void await() throws InterruptedException;
    }

    /**
     * Runs one statement to its end, a watched one until it fails or the thread is interrupted; returns the exit code.
     *
     * <p>The node parses the statement; it may be of a later release and know more than this program.
     */
    int run(String text) throws InterruptedException {
        Optional<Statement> statement = parse(text);
        boolean mayChange = statement.isEmpty() || statement.get() instanceof ChangeStatement;
        if (statement.isPresent() && statement.get() instanceof WatchStatement watch) {
            return watch(watch);
        }
        return ask(text, mayChange);
    }

    private int watch(WatchStatement watch) throws InterruptedException {
        while (true) {
            int code = ask(watch.show().text(), false);
            if (code != Subcommand.OK && code != OperatorOptions.NOT_REACHED) {
                return code;
            }
            pause.await();
            out.println();
        }
    }

    private int ask(String text, boolean mayChange) {
        try {
            OperatorResponse response = asker.ask(text);
            print(response);
            return response.status().exitCode();
        } catch (OperatorClientException e) {
            boolean unknown = mayChange && e.kind() == Kind.NO_RESPONSE;
            String remedy = unknown ? "; it may have been carried out: see show changes and show targets" : "";
            err.println("beryldock ctl: " + e.getMessage() + remedy);
            return OperatorOptions.exitCode(e, mayChange);
        }
    }

    private void print(OperatorResponse response) {
        if (json) {
            out.println(JsonRenderer.render(response));
        } else {
            PrintStream stream = response.error().isPresent() ? err : out;
            stream.print(TableRenderer.render(response));
        }
        out.flush();
    }

    private static Optional<Statement> parse(String text) {
        try {
            return Optional.of(StatementParser.parse(text));
        } catch (StatementException e) {
            return Optional.empty();
        }
    }
}

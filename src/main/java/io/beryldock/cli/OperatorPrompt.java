package io.beryldock.cli;

import io.beryldock.command.StatementCompletion;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.jline.reader.Candidate;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.ParsedLine;
import org.jline.reader.UserInterruptException;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/** The prompt of operators, with history and with completion from the grammar. Stateless. */
final class OperatorPrompt {

    private static final Path HISTORY = Path.of(System.getProperty("user.home", "."), ".beryldock_history");

    private OperatorPrompt() {}

    /** Reads statements and runs them until {@code exit} or the end of the input. */
    static int run(StatementRunner runner, String node, PrintStream err) throws InterruptedException {
        try (Terminal terminal = TerminalBuilder.builder().system(true).build()) {
            LineReader reader = LineReaderBuilder.builder()
                    .terminal(terminal)
                    .appName("beryldock")
                    .completer((line, word, candidates) -> complete(word, candidates))
                    .variable(LineReader.HISTORY_FILE, HISTORY)
                    .option(LineReader.Option.DISABLE_EVENT_EXPANSION, true)
                    .build();
            return loop(runner, terminal, reader, node + "> ");
        } catch (IOException e) {
            err.println("beryldock ctl: no terminal: " + e.getMessage() + "; give the statement as an argument");
            return Subcommand.FAILED;
        }
    }

    private static int loop(StatementRunner runner, Terminal terminal, LineReader reader, String prompt)
            throws InterruptedException {
        while (true) {
            try {
                String line = reader.readLine(prompt).strip();
                if (line.equals("exit") || line.equals("quit")) {
                    return Subcommand.OK;
                }
                if (!line.isEmpty()) {
                    runInterruptibly(runner, terminal, line);
                }
            } catch (UserInterruptException e) {
                // Control-C at the prompt drops the line, as in a shell.
                reader.getBuffer().clear();
            } catch (EndOfFileException e) {
                return Subcommand.OK;
            }
        }
    }

    /** Control-C ends a watched statement and comes back to the prompt. */
    private static void runInterruptibly(StatementRunner runner, Terminal terminal, String line) {
        Thread thread = Thread.currentThread();
        Terminal.SignalHandler before = terminal.handle(Terminal.Signal.INT, signal -> thread.interrupt());
        try {
            runner.run(line);
        } catch (InterruptedException e) {
            terminal.writer().println();
        } finally {
            terminal.handle(Terminal.Signal.INT, before);
            Thread.interrupted();
        }
    }

    private static void complete(ParsedLine line, List<Candidate> candidates) {
        String before = line.line().substring(0, line.cursor() - line.wordCursor());
        StatementCompletion.next(before).forEach(word -> candidates.add(new Candidate(word)));
    }
}

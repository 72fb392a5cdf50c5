package io.beryldock.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import io.beryldock.cli.OperatorEndpointStub.Reply;
import io.beryldock.command.JsonRenderer;
import io.beryldock.command.OperatorResponse;
import io.beryldock.command.OperatorResponse.Status;
import io.beryldock.command.QueryTable;
import io.beryldock.command.ShowColumns;
import io.beryldock.command.TimelineTable;
import io.beryldock.timeline.SeededTimeline;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class CtlSubcommandTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path directory;

    private int run(String... args) {
        return CommandLineRunner.run(args, stream(out), stream(err));
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    private static OperatorResponse response(Status status, QueryTable table) {
        return new OperatorResponse(
                status,
                "",
                table,
                1,
                ImmutableList.of(),
                ImmutableList.of(),
                ImmutableList.of(),
                Optional.empty(),
                Optional.empty());
    }

    private static Reply reply(Status status, QueryTable table) {
        return new Reply(status.httpStatus(), JsonRenderer.render(response(status, table)));
    }

    private static QueryTable tickets() {
        return QueryTable.builder(ShowColumns.TICKETS)
                .row("n1", "deciding", 0, 1, 2, 0, 100)
                .build();
    }

    @ParameterizedTest
    @EnumSource(Status.class)
    void exitCodeIsThatOfTheResponse(Status status) throws IOException {
        try (OperatorEndpointStub stub = OperatorEndpointStub.start(text -> reply(status, tickets()))) {
            assertThat(run("ctl", "--node", stub.address(), "show", "tickets")).isEqualTo(status.exitCode());
            assertThat(stub.statements).containsExactly("show tickets");
            assertThat(out.toString(StandardCharsets.UTF_8)).contains("in flight", "deciding");
        }
    }

    @Test
    void tokenIsShownAndJsonPrinted() throws IOException {
        Path file = Files.writeString(directory.resolve("token"), "0123456789abcdef\n");
        try (OperatorEndpointStub stub = OperatorEndpointStub.start(text -> reply(Status.OK, tickets()))) {
            int code = run("ctl", "--node", stub.address(), "--token-file", file.toString(), "--json", "show tickets");
            assertThat(code).isZero();
            assertThat(stub.authorizations).containsExactly("Bearer 0123456789abcdef");
            assertThat(JsonRenderer.read(out.toString(StandardCharsets.UTF_8)))
                    .isEqualTo(response(Status.OK, tickets()));
        }
    }

    /**
     * The node takes a change and its connection is cut before the response. "Not reached" would be wrong, as the
     * change may be in force; and a client that quietly sent it again could undo what another operator has set since.
     */
    @Test
    void changeWithoutResponseIsUnknownAndNotSentAgain() throws IOException {
        try (OperatorEndpointStub stub = OperatorEndpointStub.start(text -> new Reply(0, ""))) {
            assertThat(run("ctl", "--node", stub.address(), "set class page priority 1"))
                    .isEqualTo(OperatorOptions.OUTCOME_UNKNOWN);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("may have been carried out");
            assertThat(run("ctl", "--node", stub.address(), "show tickets")).isEqualTo(OperatorOptions.NOT_REACHED);
            assertThat(stub.statements).containsExactly("set class page priority 1", "show tickets");
        }
    }

    /** The node's listener gave up waiting for the change, which goes on; HTTP clients like to send again on 503. */
    @Test
    void changeThatTheListenerGaveUpIsUnknownAndNotSentAgain() throws IOException {
        try (OperatorEndpointStub stub = OperatorEndpointStub.start(text -> new Reply(503, "busy"))) {
            assertThat(run("ctl", "--node", stub.address(), "set class page priority 1"))
                    .isEqualTo(OperatorOptions.OUTCOME_UNKNOWN);
            assertThat(stub.statements).hasSize(1);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("503", "may have been carried out");
        }
    }

    @Test
    void anotherListenerIsSaidToBeNone() throws IOException {
        try (OperatorEndpointStub stub = OperatorEndpointStub.start(text -> new Reply(404, "no such page"))) {
            assertThat(run("ctl", "--node", stub.address(), "show nodes")).isEqualTo(Subcommand.FAILED);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("404", "admin listener");
        }
    }

    @Test
    void changeThatDidNotReachANodeIsSaidSo() throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        assertThat(run("ctl", "--node", "127.0.0.1:" + port, "set class page priority 1"))
                .isEqualTo(OperatorOptions.NOT_REACHED);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("can't be reached");
    }

    @Test
    void wrongTokenAndWrongOptionsNameTheRemedy() throws IOException {
        try (OperatorEndpointStub stub = OperatorEndpointStub.start(text -> new Reply(401, ""))) {
            assertThat(run("ctl", "--node", stub.address(), "show nodes")).isEqualTo(Subcommand.FAILED);
        }
        assertThat(run("ctl", "--node", "n1", "show nodes")).isEqualTo(Subcommand.USAGE);
        assertThat(run("ctl", "--node", "1.2.3.4:5", "--token-file", "/no/such", "show nodes"))
                .isEqualTo(Subcommand.USAGE);
        assertThat(run("ctl", "show nodes")).isEqualTo(Subcommand.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("--token-file", "IP:PORT", "/no/such");
    }

    @Test
    void watchedStatementIsAskedAgainUntilInterrupted() {
        AtomicInteger asked = new AtomicInteger();
        StatementRunner runner = StatementRunner.create(
                text -> {
                    assertThat(text).isEqualTo("show tickets");
                    asked.incrementAndGet();
                    return response(Status.PARTIAL, tickets());
                },
                () -> {
                    if (asked.get() == 3) {
                        throw new InterruptedException("enough");
                    }
                },
                false,
                stream(out),
                stream(err));
        assertThatThrownBy(() -> runner.run("watch show tickets")).isInstanceOf(InterruptedException.class);
        assertThat(asked.get()).isEqualTo(3);
    }

    @Test
    void timelineIsWrittenInItsThreeForms() throws IOException {
        QueryTable table = TimelineTable.of(SeededTimeline.merged(SeededTimeline.run(41, 2, 2)));
        Path page = directory.resolve("timeline.html");
        try (OperatorEndpointStub stub = OperatorEndpointStub.start(text -> reply(Status.PARTIAL, table))) {
            int partial = Status.PARTIAL.exitCode();
            assertThat(run("timeline", "--node", stub.address(), "--since", "1h"))
                    .isEqualTo(partial);
            assertThat(run("timeline", "--node", stub.address(), "--json")).isEqualTo(partial);
            assertThat(run("timeline", "--node", stub.address(), "--html", page.toString()))
                    .isEqualTo(partial);
            assertThat(stub.statements.get(0)).isEqualTo("show timeline last 1h everywhere");
        }
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("STORE_DOWN", "\"kind\":\"STORE_DOWN\"");
        assertThat(page).content().contains("\"kind\":\"STORE_DOWN\"");
    }
}

package io.beryldock.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExplainSubcommandTest {

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int explain(String request) throws IOException {
        Path entry = directory.resolve("entry.log");
        Path gate = directory.resolve("gate.log");
        Files.writeString(
                entry,
                "{\"timestamp\":2,\"formattedMessage\":\"decision at=caller asked=a id=n0-1 status=503 detail=\"}\n");
        Files.writeString(
                gate,
                "{\"timestamp\":1,\"formattedMessage\":\"decision at=gate id=n0-2 root=n0-1 parent=n0-1"
                        + " reason=SHED_AT_TARGET detail=refused at the gate of back\"}\n");
        String[] arguments = {"explain", request, entry.toString(), gate.toString()};
        return CommandLineRunner.run(arguments, new PrintStream(out, true), new PrintStream(err, true));
    }

    @Test
    void aStoryIsPrintedFromTheCallerToTheCause() throws IOException {
        assertThat(explain("a")).isEqualTo(Subcommand.OK);
        assertThat(out.toString(StandardCharsets.UTF_8).lines())
                .satisfiesExactly(
                        caller -> assertThat(caller).contains("entry.log", "status=503"),
                        gate -> assertThat(gate).contains("gate.log", "SHED_AT_TARGET"));
    }

    @Test
    void aRequestThatNoLogNamesSaysSo() throws IOException {
        assertThat(explain("other")).isEqualTo(Subcommand.FAILED);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("no log tells of other");
    }
}

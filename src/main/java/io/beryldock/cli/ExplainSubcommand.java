package io.beryldock.cli;

import com.google.common.collect.ImmutableList;
import io.beryldock.logging.RequestStory;
import io.beryldock.logging.RequestStory.Chapter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.kohsuke.args4j.Argument;

/**
 * Prints what the nodes decided over one request, from their logs, from its caller to the decision that caused its end.
 *
 * <p>Exit codes: 0 when the logs tell of it, 1 when not.
 */
public final class ExplainSubcommand implements Subcommand {

    private static final String INDENT = "    ";

    @Argument(index = 0, metaVar = "REQUEST-ID", required = true, usage = "as the caller sent it, or as nodes log it")
    private String request;

    @Argument(index = 1, metaVar = "LOG", required = true, usage = "logs of the nodes, JSON lines")
    private List<Path> logs = new ArrayList<>();

    @Override
    public int run(PrintStream out, PrintStream err) throws IOException {
        RequestStory story = new RequestStory();
        for (Path log : logs) {
            read(log, story);
        }
        ImmutableList<Chapter> chapters = story.of(request);
        chapters.forEach(chapter -> print(chapter, out));
        if (story.leftOut() > 0) {
            err.printf(
                    "the nodes had no room to log %d decisions; what is missing here may be among them%n",
                    story.leftOut());
        }
        if (chapters.isEmpty()) {
            err.printf(
                    "no log tells of %s: it was answered with success, or it never reached a node whose log is given%n",
                    request);
            return FAILED;
        }
        return OK;
    }

    private static void read(Path log, RequestStory story) throws IOException {
        try (Stream<String> lines = Files.lines(log, StandardCharsets.UTF_8)) {
            String name = log.getFileName().toString();
            lines.forEach(line -> story.read(name, line));
        }
    }

    private static void print(Chapter chapter, PrintStream out) {
        out.printf(
                "%s%s %s, %s%n",
                chapter.isInner() ? INDENT : "",
                Instant.ofEpochMilli(chapter.millis()),
                chapter.log(),
                chapter.line().text());
    }
}

package io.beryldock.cli;

import com.google.common.collect.ImmutableList;
import io.beryldock.command.OperatorResponse;
import io.beryldock.command.TableRenderer;
import io.beryldock.command.TimelineTable;
import io.beryldock.timeline.Event;
import io.beryldock.timeline.TimelineHtmlWriter;
import io.beryldock.timeline.TimelineJsonWriter;
import io.beryldock.timeline.TimelineTextWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/**
 * Writes the time line of all processes, merged in causal order: as text, JSON lines or one HTML page.
 *
 * <p>Exit codes as of {@link CtlSubcommand}: 4 also when some nodes are missing from what was written.
 */
public final class TimelineSubcommand implements Subcommand {

    @Option(name = "--node", metaVar = "IP:PORT", required = true, usage = "admin listener of any node")
    private String node;

    @Option(name = "--token-file", metaVar = "FILE", usage = "file with the operators' token")
    private String tokenFile;

    @Option(name = "--since", metaVar = "TIME", usage = "how far back, for example 30s or 1h; 5m if not given")
    private String since = "5m";

    @Option(name = "--request", metaVar = "ID", usage = "events about this request only")
    private String request;

    @Option(name = "--json", usage = "print JSON lines", forbids = "--html")
    private boolean json;

    @Option(name = "--html", metaVar = "FILE", usage = "write a page with zoom and filters")
    private String html;

    @Override
    public int run(PrintStream out, PrintStream err) throws IOException {
        try (OperatorClient client = OperatorOptions.open(node, tokenFile)) {
            return write(client.ask(statement()), out, err);
        } catch (OperatorOptions.OptionException e) {
            err.println("beryldock timeline: " + e.getMessage());
            return USAGE;
        } catch (OperatorClientException e) {
            err.println("beryldock timeline: " + e.getMessage());
            return OperatorOptions.exitCode(e, false);
        }
    }

    private String statement() {
        return "show timeline last " + since + (request == null ? "" : " request " + request) + " everywhere";
    }

    private int write(OperatorResponse response, PrintStream out, PrintStream err) throws IOException {
        if (response.error().isPresent()) {
            err.print(TableRenderer.render(response));
            return response.status().exitCode();
        }
        ImmutableList<Event> events = TimelineTable.events(response.table());
        if (html != null) {
            Files.writeString(Path.of(html), TimelineHtmlWriter.write(events));
            err.println(events.size() + " events of " + response.answered() + " nodes written to " + html);
        } else {
            out.print(json ? TimelineJsonWriter.write(events) : TimelineTextWriter.write(events));
        }
        err.print(TableRenderer.renderMissing(response));
        return response.status().exitCode();
    }
}

package io.beryldock.cli;

import io.beryldock.peer.PeerStartException;
import io.beryldock.platform.StandinPlatform;
import io.beryldock.settings.SettingsException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/**
 * Runs a node on a platform in small, so that the Java virtual machine can record the classes that it loads.
 *
 * <p>The build runs it with {@code -XX:ArchiveClassesAtExit}; nodes then start from the archive.
 */
public final class RecordClassesSubcommand implements Subcommand {

    /** As long as the longest period of a node's timers, and the first second of its life. */
    private static final int REST_SECONDS = 11;

    @Option(name = "--requests", metaVar = "N", usage = "requests to serve; 50 load all classes of a request's way")
    private int requests = 50;

    @Override
    public int run(PrintStream out, PrintStream err) throws InterruptedException {
        try (StandinPlatform platform = StandinPlatform.start()) {
            int served = platform.exercise(requests);
            platform.sendRefusedRequests();
            // Classes of timers that come seldom belong to the archive too.
            TimeUnit.SECONDS.sleep(REST_SECONDS);
            out.println("requests answered: " + served);
            return served > 0 ? OK : FAILED;
        } catch (IOException | SettingsException | PeerStartException e) {
            err.println("beryldock record-classes: " + e.getMessage());
            return FAILED;
        }
    }
}

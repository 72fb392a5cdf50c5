package io.beryldock.cli;

import io.beryldock.http.ServerStartException;
import io.beryldock.node.NodeProcess;
import io.beryldock.node.RunningNode;
import io.beryldock.peer.PeerStartException;
import io.beryldock.settings.NodeSettings;
import io.beryldock.settings.SettingsException;
import io.beryldock.settings.SettingsReader;
import java.io.File;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;

/** Runs a node until it is told to stop. */
public final class NodeSubcommand implements Subcommand {

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings of the node, JSON")
    private File settings;

    @Override
    public int run(PrintStream out, PrintStream err) throws InterruptedException {
        RunningNode node;
        try {
            node = NodeProcess.start(SettingsReader.read(settings.toPath(), NodeSettings.class));
        } catch (SettingsException e) {
            err.println("beryldock node: " + settings + ": " + e.getMessage());
            return USAGE;
        } catch (PeerStartException | ServerStartException e) {
            err.println("beryldock node: " + e.getMessage());
            return FAILED;
        }
        out.println("node ready: callers at " + node.callersAddress());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "planned-stop"));
        new CountDownLatch(1).await();
        return OK;
    }

    /** On SIGTERM: the process ends when the hook returns. */
    private static void stop(RunningNode node) {
        try {
            node.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

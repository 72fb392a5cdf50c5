package io.beryldock.cli;

import io.beryldock.peer.PeerStartException;
import io.beryldock.platform.PlatformNode;
import io.beryldock.settings.SettingsException;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.jline.utils.Signals;
import org.kohsuke.args4j.Option;

/** Runs a node on the users' platform until it is told to stop. */
public final class PlatformNodeSubcommand implements Subcommand {

    /** Names the settings file where the option is left out. */
    private static final String SETTINGS_VARIABLE = "BERYLDOCK_CONFIG";

    @Option(name = "--settings", metaVar = "FILE", usage = "settings of the node, JSON; default: $BERYLDOCK_CONFIG")
    private File settings;

    @Override
    public int run(PrintStream out, PrintStream err) throws InterruptedException {
        String variable = System.getenv(SETTINGS_VARIABLE);
        if (settings == null && variable == null) {
            err.println("beryldock platform-node: --settings or " + SETTINGS_VARIABLE + " must name the settings");
            return USAGE;
        }
        File file = settings == null ? new File(variable) : settings;
        PlatformNode node;
        try {
            node = PlatformNode.start(file.toPath());
        } catch (SettingsException e) {
            err.println("beryldock platform-node: " + file + ": " + e.getMessage());
            return USAGE;
        } catch (PeerStartException | IOException e) {
            err.println("beryldock platform-node: " + e.getMessage());
            return FAILED;
        }
        // Without a handler the signal ends the virtual machine.
        Signals.register("HUP", () -> PlatformNode.checkChangedSettings(file.toPath()));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "planned-stop"));
        new CountDownLatch(1).await();
        return OK;
    }

    /** On SIGTERM: the process ends when the hook returns. */
    private static void stop(PlatformNode node) {
        try {
            node.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

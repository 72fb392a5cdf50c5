package io.beryldock.cli;

import com.google.common.util.concurrent.Uninterruptibles;
import io.beryldock.settings.SettingsException;
import io.beryldock.settings.SettingsReader;
import io.beryldock.standin.StandinTarget;
import io.beryldock.standin.StandinTargetSettings;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/** Runs a stand-in target until it has left: by SIGTERM or {@code POST /leave}. */
public final class StandinTargetSubcommand implements Subcommand {

    private static final int CRASHED = 137;

    /** Time for its node to take the announcement that it leaves; within it requests may still come. */
    private static final Duration LEAVE_NOTICE = Duration.ofSeconds(1);

    /** Longest wait for requests in flight. */
    private static final Duration LONGEST_DRAIN = Duration.ofSeconds(30);

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "JSON settings of the target")
    private Path file = Path.of("target.json");

    private final CountDownLatch ended = new CountDownLatch(1);

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        StandinTargetSettings settings;
        try {
            settings = SettingsReader.read(file, StandinTargetSettings.class);
        } catch (SettingsException e) {
            err.println("beryldock standin-target: " + e.getMessage());
            return USAGE;
        }
        try (StandinTarget target =
                StandinTarget.start(settings, () -> Runtime.getRuntime().halt(CRASHED))) {
            out.printf("target %s at %s%n", settings.service(), target.address());
            out.flush();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> leaveAndWait(target), "shutdown"));
            target.askedToLeave().join();
            Thread.sleep(LEAVE_NOTICE.toMillis());
            target.leave()
                    .orTimeout(LONGEST_DRAIN.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
            return OK;
        } finally {
            ended.countDown();
        }
    }

    private void leaveAndWait(StandinTarget target) {
        var unused = target.leave();
        Uninterruptibles.awaitUninterruptibly(ended);
    }
}

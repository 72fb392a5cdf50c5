package io.beryldock.soak;

import com.google.common.flogger.FluentLogger;
import java.io.File;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The process of one node, which is started, signalled and ended from outside.
 *
 * <p>Thread safe. Invariant: at most one process at a time; signals go to the process that this object started, by its
 * id.
 */
final class SoakNode implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");

    /** As deployments run nodes, but for the class archive, which is made by another build step. */
    private static final List<String> OPTIONS = List.of(
            "-Xmx160m", "-Xmn10m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");

    private final NodePlace place;
    private final Path settings;
    private final File output;
    private Process process;
    private boolean closed;

    private SoakNode(NodePlace place, Path settings, File output) {
        this.place = place;
        this.settings = settings;
        this.output = output;
    }

    /** A node that isn't started yet; its settings and its log are written into the directory. */
    static SoakNode create(NodePlace place, String settings, Path directory) throws IOException {
        Path file = directory.resolve(place.name() + ".json");
        Files.writeString(file, settings);
        return new SoakNode(
                place, file, directory.resolve(place.name() + ".log").toFile());
    }

    NodePlace place() {
        return place;
    }

    /** Starts a process unless one runs or all is over; tells whether it did. */
    synchronized boolean startIfDown() throws IOException {
        if (closed || isRunning()) {
            return false;
        }
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(java);
        builder.command().addAll(OPTIONS);
        builder.command()
                .addAll(List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "io.beryldock.Main",
                        "platform-node",
                        "--settings",
                        settings.toString()));
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                .start();
        return true;
    }

    synchronized boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** SIGTERM; completes when the process has ended. */
    synchronized CompletableFuture<Process> stop() {
        process.destroy();
        return process.onExit();
    }

    /** SIGKILL, also of a process that is paused; returns when it has ended. */
    void kill() throws InterruptedException {
        Process killed;
        synchronized (this) {
            killed = process;
        }
        if (killed != null) {
            killed.destroyForcibly().waitFor();
        }
    }

    /** SIGSTOP. */
    void pause() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** SIGCONT. */
    void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        long id;
        synchronized (this) {
            if (!isRunning()) {
                return;
            }
            id = process.pid();
        }
        int code = new ProcessBuilder("kill", name, Long.toString(id)).start().waitFor();
        if (code != 0) {
            log.atWarning().log("kill %s %d ended with %d; the process has ended itself", name, id, code);
        }
    }

    /** What the process holds; empty when it does not run, or the system does not tell it. */
    Optional<SoakEvent.Sampled> sample(long at) {
        long id;
        synchronized (this) {
            if (!isRunning()) {
                return Optional.empty();
            }
            id = process.pid();
        }
        Path state = Path.of("/proc", Long.toString(id));
        try (DirectoryStream<Path> files = Files.newDirectoryStream(state.resolve("fd"))) {
            int open = 0;
            for (Path unused : files) {
                open++;
            }
            Matcher resident = RESIDENT.matcher(Files.readString(state.resolve("status")));
            return resident.find()
                    ? Optional.of(new SoakEvent.Sampled(at, place.number(), Long.parseLong(resident.group(1)), open))
                    : Optional.empty();
        } catch (IOException e) {
            log.atFine().withCause(e).log("process %d ended while it was looked at", id);
            return Optional.empty();
        }
    }

    /** Ends the process for good: a planned start after it does nothing. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
        }
        try {
            kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

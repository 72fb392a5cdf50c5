package io.beryldock.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All runs of one target and the slot time they took, so that a test can count real runs.
 *
 * <p>Thread safe. A run is in the log, and in the file when there is one, before it begins: a crash in its midst leaves
 * its trace. Slot time counts from taking a slot to giving it back, waiting for inner calls included.
 */
public final class RunLog implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<RunRecord> runs = new ArrayList<>();
    private final Map<String, Long> slotNanosByRoot = new HashMap<>();
    private final BufferedWriter file;

    private RunLog(BufferedWriter file) {
        this.file = file;
    }

    /** A log in memory, and in the file unless that is null. */
    static RunLog create(String fileName) throws StandinException {
        try {
            BufferedWriter file = fileName == null
                    ? null
                    : Files.newBufferedWriter(Path.of(fileName), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            return new RunLog(file);
        } catch (IOException e) {
            throw new StandinException("can't write the run log " + fileName + ": choose another runLogFile", e);
        }
    }

    /** Notes that the request begins to run. */
    synchronized RunRecord begin(String method, String path, String echo, String key, String context) {
        RunRecord run = new RunRecord(runs.size() + 1L, method, path, echo, key, context);
        runs.add(run);
        if (file != null) {
            append(run);
        }
        return run;
    }

    private void append(RunRecord run) {
        try {
            file.write(JSON.writeValueAsString(run));
            file.newLine();
            file.flush();
        } catch (IOException e) {
            throw new IllegalStateException("the run log can't be written: check the disk of runLogFile", e);
        }
    }

    /** Adds slot time that the run has used. */
    synchronized void end(RunRecord run, long slotNanos) {
        slotNanosByRoot.merge(run.rootEcho(), slotNanos, Long::sum);
    }

    /** All runs so far in their order. */
    public synchronized ImmutableList<RunRecord> all() {
        return ImmutableList.copyOf(runs);
    }

    /** Slot time by the token of the user-visible request; a run still under way is not in it. */
    public synchronized Map<String, Long> slotNanosByRoot() {
        return new HashMap<>(slotNanosByRoot);
    }

    String toJson() {
        try {
            return JSON.writeValueAsString(all());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("runs are always JSON", e);
        }
    }

    @Override
    public void close() {
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException("the run log can't be closed", e);
        }
    }
}

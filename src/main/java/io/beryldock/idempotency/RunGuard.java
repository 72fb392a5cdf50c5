package io.beryldock.idempotency;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

/**
 * Ensures that a target's node starts a keyed request at most once.
 *
 * <p>Guards against messages between nodes that are duplicated or delayed: a second copy could run the request again,
 * or run it after the first copy was refused and NOT_RUN was returned to the caller. All copies of a started request
 * get the same outcome, and a refused attempt stays refused. The guard must therefore precede every check that may
 * refuse a keyed request at the target's node: drain, admission and quarantine. Thread safe.
 */
public final class RunGuard {

    private final KeyedRunTable runTable;

    private RunGuard(KeyedRunTable runTable) {
        this.runTable = runTable;
    }

    public static RunGuard create(KeyedRunTable runTable) {
        return new RunGuard(runTable);
    }

    /**
     * Runs the call, whose key is a ticket, unless its request has been started or this attempt has been refused
     * before.
     */
    public CompletableFuture<CallResult> run(
            Call call, CallerIdentity identity, Supplier<CompletableFuture<CallResult>> run) {
        String ticket = call.key().orElseThrow();
        TicketScope scope = new TicketScope(identity, RequestFingerprint.of(call));
        return runTable.tryStart(ticket, scope, call.id()).orElseGet(() -> runAndRecord(call, ticket, run));
    }

    /** Records a target's answer that arrived after the call's deadline, so that the caller's retry finds it. */
    public void recordLateAnswer(Call call, CallResult answer) {
        runTable.recordLateAnswer(call.key().orElseThrow(), answer);
    }

    private CompletableFuture<CallResult> runAndRecord(
            Call call, String ticket, Supplier<CompletableFuture<CallResult>> run) {
        return attempt(run).handle((result, failure) -> {
            CallResult end = failure == null ? result : failureResult(failure);
            runTable.recordResult(ticket, call.id(), end);
            return end;
        });
    }

    private static CompletableFuture<CallResult> attempt(Supplier<CompletableFuture<CallResult>> run) {
        try {
            return run.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Result for an exception in this node: the request may have run. */
    private static CallResult failureResult(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return CallResult.unknown(Reason.INTERNAL, String.valueOf(cause));
    }
}

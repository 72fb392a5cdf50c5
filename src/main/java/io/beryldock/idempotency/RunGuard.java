package io.beryldock.idempotency;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

/**
 * Lets a target's node start a keyed request once.
 *
 * <p>Guards against a message between nodes that is delivered twice or late: the second copy would run the request
 * again, or run it after its first copy was refused and its caller was told NOT_RUN. A request that was started gives
 * every copy the same outcome, an attempt that was refused stays refused. So the guard must stand before everything
 * that may refuse a keyed request at the target's node: its drain, its admission, its quarantine. Thread safe.
 */
public final class RunGuard {

    private final AnswerMemory memory;

    private RunGuard(AnswerMemory memory) {
        this.memory = memory;
    }

    public static RunGuard create(AnswerMemory memory) {
        return new RunGuard(memory);
    }

    /** Runs the call, whose key is its ticket, unless it was started or this attempt of it was refused before. */
    public CompletableFuture<CallResult> run(
            Call call, CallerIdentity identity, Supplier<CompletableFuture<CallResult>> run) {
        String ticket = call.key().orElseThrow();
        TicketScope scope = new TicketScope(identity, RequestFingerprint.of(call));
        return memory.start(ticket, scope, call.id()).orElseGet(() -> started(call, ticket, run));
    }

    /** Takes the target's answer to a call whose time was over before it came; the caller's next try finds it. */
    public void lateAnswer(Call call, CallResult answer) {
        memory.late(call.key().orElseThrow(), answer);
    }

    private CompletableFuture<CallResult> started(
            Call call, String ticket, Supplier<CompletableFuture<CallResult>> run) {
        return attempt(run).handle((result, failure) -> {
            CallResult end = failure == null ? result : failed(failure);
            memory.ended(ticket, call.id(), end);
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

    /** A failure of the node itself: the request may have run. */
    private static CallResult failed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return CallResult.unknown(Reason.INTERNAL, String.valueOf(cause));
    }
}

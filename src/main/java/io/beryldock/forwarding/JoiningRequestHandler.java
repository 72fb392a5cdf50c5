package io.beryldock.forwarding;

import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.call.Headers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Joins a caller's repeated request to an equal request that the caller has in flight at this node.
 *
 * <p>Guards against callers that resend the request for a slow page: each copy would add load to a call chain that is
 * already slow. Only safe requests without a body join, and only requests of one caller that are equal in every header,
 * so that no caller gets another caller's answer. The shared run is cancelled when all requests that wait for it are
 * cancelled. Thread safe.
 */
public final class JoiningRequestHandler implements RequestHandler {

    private static final ImmutableSet<String> SAFE_METHODS = ImmutableSet.of("GET", "HEAD");

    private final RequestHandler next;
    private final Map<Key, SharedRun> runs = new ConcurrentHashMap<>();
    private final LongAdder joined = new LongAdder();

    private JoiningRequestHandler(RequestHandler next) {
        this.next = next;
    }

    public static JoiningRequestHandler create(RequestHandler next) {
        return new JoiningRequestHandler(next);
    }

    @Override
    public CompletableFuture<RequestOutcome> handle(IncomingRequest request, CancelScope scope) {
        if (!mayJoin(request)) {
            return next.handle(request, scope);
        }
        Key key = new Key(request.identity(), request.method(), request.path(), request.headers());
        SharedRun fresh = new SharedRun();
        SharedRun run = runs.compute(key, (same, present) -> present != null && present.join() ? present : fresh);
        scope.onCancel(() -> run.leave(() -> runs.remove(key, run)));
        if (run != fresh) {
            joined.increment();
            return run.result;
        }
        next.handle(request, run.scope).whenComplete((outcome, failure) -> {
            runs.remove(key, run);
            complete(run.result, outcome, failure);
        });
        return run.result;
    }

    private static boolean mayJoin(IncomingRequest request) {
        return request.origin() == IncomingRequest.Origin.CALLER
                && SAFE_METHODS.contains(request.method())
                && request.body().isEmpty();
    }

    private static <T> void complete(CompletableFuture<T> future, T value, Throwable failure) {
        if (failure == null) {
            future.complete(value);
        } else {
            future.completeExceptionally(failure);
        }
    }

    /** Returns the number of requests that joined another one since the start. */
    public long joined() {
        return joined.sum();
    }

    /** The properties in which requests must be equal to join. */
    private record Key(String identity, String method, String path, Headers headers) {}

    /** One run and the number of requests that wait for it. Thread safe. */
    private static final class SharedRun {
        private final CompletableFuture<RequestOutcome> result = new CompletableFuture<>();
        private final CancelScope scope = CancelScope.create();

        @GuardedBy("this")
        private int waiting = 1;

        /** Returns false when no request waits any more: the run is being cancelled. */
        synchronized boolean join() {
            if (waiting == 0) {
                return false;
            }
            waiting++;
            return true;
        }

        void leave(Runnable onLast) {
            synchronized (this) {
                waiting--;
                if (waiting > 0) {
                    return;
                }
            }
            onLast.run();
            scope.cancel();
        }
    }
}

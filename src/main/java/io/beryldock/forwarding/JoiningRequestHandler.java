package io.beryldock.forwarding;

import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.call.Headers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Lets a caller's repeated request join the one that it has in flight at this node.
 *
 * <p>Guards against callers that send a slow page's request again and again: each copy would add load to a chain that
 * is slow already. Only safe requests without a body join, only those that are equal in every header, and only those of
 * one caller, so that nobody gets another's answer. The shared run is cancelled when all who wait for it have gone.
 * Thread safe.
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

    /** Requests that joined another one since the start. */
    public long joined() {
        return joined.sum();
    }

    /** What makes two requests equal. */
    private record Key(String identity, String method, String path, Headers headers) {}

    /** One run and those who wait for it. Thread safe. */
    private static final class SharedRun {
        private final CompletableFuture<RequestOutcome> result = new CompletableFuture<>();
        private final CancelScope scope = CancelScope.create();

        @GuardedBy("this")
        private int waiting = 1;

        /** False when everybody has left: the run is being cancelled. */
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

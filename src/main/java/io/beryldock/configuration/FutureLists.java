package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Combines lists of futures. Stateless, thread safe. */
final class FutureLists {

    private FutureLists() {}

    /**
     * Returns a future that completes with all values in order, and fails if one future fails. No value may be null.
     */
    static <T> CompletableFuture<ImmutableList<T>> all(List<CompletableFuture<T>> futures) {
        return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new))
                .thenApply(
                        done -> futures.stream().map(CompletableFuture::join).collect(ImmutableList.toImmutableList()));
    }
}

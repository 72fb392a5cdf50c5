package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Waits for many futures at once. Stateless, thread safe. */
final class FutureLists {

    private FutureLists() {}

    /** Completes with all values in order; fails when one fails. No value may be null. */
    static <T> CompletableFuture<ImmutableList<T>> all(List<CompletableFuture<T>> futures) {
        return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new))
                .thenApply(
                        done -> futures.stream().map(CompletableFuture::join).collect(ImmutableList.toImmutableList()));
    }
}

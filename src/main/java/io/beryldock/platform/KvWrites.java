package io.beryldock.platform;

import com.google.common.collect.ImmutableList;
import io.beryldock.nettyhttp.HttpReply;
import io.beryldock.store.PlatformException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.WriteOutcome;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import java.util.concurrent.CompletionException;

/** Maps the store's response to conditional writes to their results. Stateless, thread safe. */
final class KvWrites {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private KvWrites() {}

    /**
     * The result of the write.
     *
     * @param era the era of the store that the response names
     */
    static WriteResult result(HttpReply reply, long era) {
        return switch (reply.status()) {
            case OK -> WriteResult.applied(KvVersion.of(KvJson.revision(KvJson.read(reply), era)));
            case CONDITION_FAILED -> conflict(KvJson.entries(KvJson.read(reply).path("items"), era));
            case TOO_MANY_REQUESTS, UNAVAILABLE, NOT_FOUND -> WriteResult.notApplied();
            default -> WriteResult.unknown();
        };
    }

    private static WriteResult conflict(ImmutableList<Entry> items) {
        return WriteResult.conflict(existing(items).stream()
                .map(item -> new StoredValue(
                        KvVersion.of(item.revision()), item.value().orElseThrow()))
                .findFirst());
    }

    /** Returns the items of keys that exist; the store lists a key that does not exist without a value. */
    private static ImmutableList<Entry> existing(ImmutableList<Entry> items) {
        return items.stream()
                .filter(item -> item.revision().number() > PlatformStore.ABSENT
                        && item.value().isPresent())
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * The outcome of writes of several keys.
     *
     * @throws CompletionException with a {@link PlatformException} as its cause, if the store has not said whether the
     *     writes were applied or why they were not
     */
    static WriteOutcome outcome(HttpReply reply, long era) {
        return switch (reply.status()) {
            case OK -> WriteOutcome.applied(KvJson.revision(KvJson.read(reply), era));
            case CONDITION_FAILED ->
                WriteOutcome.conflict(existing(KvJson.entries(KvJson.read(reply).path("items"), era)));
            case NOT_FOUND -> WriteOutcome.leaseEnded();
            default ->
                throw new CompletionException(
                        new PlatformException("the platform store responded to a write with status " + reply.status()
                                + "; write again later"));
        };
    }
}

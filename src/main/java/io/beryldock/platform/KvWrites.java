package io.beryldock.platform;

import com.google.common.collect.ImmutableList;
import io.beryldock.nettyhttp.HttpReply;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;

/** Maps the store's response to a conditional write to a {@link WriteResult}. Stateless, thread safe. */
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

    /** A key that does not exist is listed among the items without a value. */
    private static WriteResult conflict(ImmutableList<Entry> items) {
        return WriteResult.conflict(items.stream()
                .filter(item -> item.revision().number() > PlatformStore.ABSENT
                        && item.value().isPresent())
                .map(item -> new StoredValue(
                        KvVersion.of(item.revision()), item.value().orElseThrow()))
                .findFirst());
    }
}

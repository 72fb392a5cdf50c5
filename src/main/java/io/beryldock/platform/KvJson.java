package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.nettyhttp.HttpReply;
import io.beryldock.store.PlatformException;
import io.beryldock.store.RegistryStore;
import io.beryldock.store.RegistryStore.ConditionalWrite;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.StoreRevision;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/** Encodes and decodes the JSON bodies of the store's protocol. Stateless, thread safe. */
final class KvJson {

    private static final String KEY = "key";
    private static final String VALUE = "value";
    private static final String REVISION = "revision";

    /** Field that contains the number of a lease; in an item, the number of the lease to which the key is attached. */
    private static final String LEASE = "lease";

    private KvJson() {}

    /**
     * Reads the body of a response.
     *
     * @throws CompletionException with a {@link PlatformException} as its cause, if the body is not valid JSON
     */
    static JsonNode read(HttpReply reply) {
        try {
            return Json.read(reply.body());
        } catch (IOException e) {
            throw new CompletionException(new PlatformException(
                    "the platform store's response is not valid JSON; continue with the last known state", e));
        }
    }

    /**
     * Decodes the items or events of a response.
     *
     * @param era the era of the store that the response names
     */
    static ImmutableList<Entry> entries(JsonNode array, long era) {
        ImmutableList.Builder<Entry> entries = ImmutableList.builder();
        array.forEach(item -> entries.add(entry(item, era)));
        return entries.build();
    }

    private static Entry entry(JsonNode item, long era) {
        Optional<ByteString> value = item.path("tombstone").asBoolean() ? Optional.empty() : Optional.of(value(item));
        return new Entry(item.path(KEY).asText(), revision(item, era), value);
    }

    static ByteString value(JsonNode item) {
        return ByteString.copyFrom(Base64.getDecoder().decode(item.path(VALUE).asText()));
    }

    static StoreRevision revision(JsonNode item, long era) {
        return new StoreRevision(era, item.path(REVISION).asLong());
    }

    /** The lease number in a response; 0 means no lease. */
    static long lease(JsonNode response) {
        return response.path(LEASE).asLong();
    }

    /** The body of a request for a lease; the protocol has its duration in seconds, with fractions. */
    static ByteString leaseRequest(double seconds) {
        return Json.write(Json.object().put("ttlS", seconds));
    }

    /** The body of a request that applies all writes or none. */
    static ByteString writeRequest(List<ConditionalWrite> writes) {
        ObjectNode transaction = Json.object();
        ArrayNode conditions = transaction.putArray("expectedRev");
        ArrayNode puts = transaction.putArray("puts");
        for (ConditionalWrite write : writes) {
            conditions
                    .addObject()
                    .put(KEY, write.key())
                    .put(REVISION, write.replaced().number());
            ObjectNode put = puts.addObject();
            put.put(KEY, write.key())
                    .put(VALUE, Base64.getEncoder().encodeToString(write.value().toByteArray()));
            if (write.lease() != RegistryStore.NO_LEASE) {
                put.put(LEASE, write.lease());
            }
        }
        transaction.putArray("deletes");
        return Json.write(transaction);
    }
}

package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.nettyhttp.HttpReply;
import io.beryldock.store.PlatformException;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.StoreRevision;
import java.io.IOException;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/** The bodies of the store's calls. Stateless, thread safe. */
final class KvJson {

    private static final String KEY = "key";
    private static final String VALUE = "value";
    private static final String REVISION = "revision";

    /** Key of the number of a lease, and in an item of the lease that it is under. */
    private static final String LEASE = "lease";

    private KvJson() {}

    /** Reads the body of an answer; fails with a {@link PlatformException} within when it is no JSON. */
    static JsonNode read(HttpReply reply) {
        try {
            return Json.read(reply.body());
        } catch (IOException e) {
            throw new CompletionException(
                    new PlatformException("the platform store's answer is no JSON; go on with what is known", e));
        }
    }

    /** Items or events of an answer that names the era. */
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

    /** A lease number in an answer; 0 stands for none. */
    static long lease(JsonNode answer) {
        return answer.path(LEASE).asLong();
    }

    /** A lease's length goes over the wire in seconds, with fractions. */
    static ByteString leaseRequest(double seconds) {
        return Json.write(Json.object().put("ttlS", seconds));
    }

    /** A write of one key; the condition, if any, is the revision that the key must still have, 0 for none. */
    static ByteString writeRequest(String key, ByteString value, long lease, Optional<Long> expectedRevision) {
        ObjectNode transaction = Json.object();
        ArrayNode conditions = transaction.putArray("expectedRev");
        expectedRevision.ifPresent(
                revision -> conditions.addObject().put(KEY, key).put(REVISION, revision));
        ObjectNode put = transaction.putArray("puts").addObject();
        put.put(KEY, key).put(VALUE, Base64.getEncoder().encodeToString(value.toByteArray()));
        if (lease != 0) {
            put.put(LEASE, lease);
        }
        transaction.putArray("deletes");
        return Json.write(transaction);
    }
}

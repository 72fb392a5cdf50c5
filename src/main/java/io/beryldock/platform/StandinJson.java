package io.beryldock.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpAnswer;
import java.util.Base64;
import java.util.Map;

/** Encodes the JSON responses of the store stand-in. Stateless, thread safe. */
final class StandinJson {

    private static final int CONDITION_FAILED = 412;

    private StandinJson() {}

    static HttpAnswer answer(int status, ObjectNode body) {
        Headers headers = Headers.empty().with("Content-Type", "application/json");
        return HttpAnswer.of(status, headers, Json.write(body));
    }

    /**
     * The response to writes of which a condition does not hold.
     *
     * @param stored the items stored under the keys of all conditions, null where there is none
     */
    static HttpAnswer conflict(Map<String, StandinStore.Item> stored) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("items");
        stored.forEach((key, item) -> {
            if (item == null) {
                list.addObject().put("key", key).put("revision", 0);
            } else {
                list.add(item(key, item));
            }
        });
        return answer(CONDITION_FAILED, body);
    }

    static ObjectNode item(String key, StandinStore.Item item) {
        return Json.object()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(item.value().toByteArray()))
                .put("revision", item.revision())
                .put("lease", item.lease());
    }

    static ObjectNode event(StandinStore.Event event) {
        if (event.item() != null) {
            return item(event.key(), event.item());
        }
        return Json.object()
                .put("key", event.key())
                .put("revision", event.revision())
                .put("tombstone", true);
    }
}

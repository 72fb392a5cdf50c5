package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Streams;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import com.google.protobuf.ByteString;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpExchange;
import io.beryldock.nettyhttp.HttpHandler;
import io.beryldock.time.TimerService;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * In-memory stand-in for the platform's store, for tests and trial runs: keys, leases and watches, with faults that can
 * be injected.
 *
 * <p>Thread safe. The revision increases with each change; the history of changes is kept until it is dropped.
 */
final class StandinStore implements HttpHandler {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;

    /** Delays of late writes, one after the other. */
    private static final long[] LATE_MILLIS = {4_000, 2_500, 5_000, 1_500};

    private final TimerService timers;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, List<String>> leases = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long era = 1;
    private long revision = 1;
    private long historyFrom = 1;
    private long nextLease = 1;
    private Fault fault = Fault.NONE;
    private boolean withholding;
    private boolean writesLate;
    private long writes;
    private long lateWrites;

    StandinStore(TimerService timers) {
        this.timers = timers;
    }

    /** Faults that can be injected. */
    enum Fault {
        NONE,
        /** Calls are refused and have no effect. */
        BUSY,
        /** Calls get no response and have no effect. */
        SILENT,
        /** Writes are applied, but their responses are lost. */
        ANSWER_LOST
    }

    /** The value of a key with the revision of its last change and its lease, 0 for none. Immutable. */
    record Item(ByteString value, long revision, long lease) {}

    /** A change of a key; the item is null if the key was removed. Immutable. */
    record Event(String key, Item item, long revision) {}

    private record Watch(HttpExchange exchange, String prefix, long after) {}

    /** Injects the fault in place of the current one; {@link Fault#NONE} ends it. */
    synchronized void setFault(Fault newFault) {
        fault = newFault;
    }

    /** Writes unconditionally, as operators do. */
    synchronized void write(String key, ByteString value) {
        put(key, value, 0);
        notifyWatches();
    }

    synchronized boolean contains(String key) {
        return items.containsKey(key);
    }

    /** Expires all leases, as an outage longer than their duration does. */
    synchronized void expireLeases() {
        List<String> keys = leases.values().stream().flatMap(List::stream).toList();
        leases.clear();
        keys.forEach(this::remove);
        notifyWatches();
    }

    /** The current state of the store, for a later {@link #restoreFrom}. */
    synchronized Snapshot snapshot() {
        Map<Long, List<String>> leasesCopy = new TreeMap<>();
        leases.forEach((lease, keys) -> leasesCopy.put(lease, List.copyOf(keys)));
        return new Snapshot(Map.copyOf(items), List.copyOf(history), leasesCopy, revision);
    }

    /** Discards all changes since the snapshot was taken and starts a new era; pending watches get no response. */
    synchronized void restoreFrom(Snapshot snapshot) {
        era++;
        items.clear();
        items.putAll(snapshot.items());
        history.clear();
        history.addAll(snapshot.history());
        leases.clear();
        snapshot.leases().forEach((lease, keys) -> leases.put(lease, new ArrayList<>(keys)));
        revision = snapshot.revision();
        historyFrom = Math.min(historyFrom, revision);
        watches.clear();
    }

    /** A state of the store. Immutable. */
    record Snapshot(Map<String, Item> items, List<Event> history, Map<Long, List<String>> leases, long revision) {}

    /** While it withholds changes, watches get none: one that ends returns none, with the current revision. */
    synchronized void setWithholding(boolean value) {
        withholding = value;
        notifyWatches();
    }

    /**
     * While set, the first write and every other one after it get no answer and are applied seconds later, if their
     * conditions still hold.
     */
    synchronized void setWritesLate(boolean value) {
        writesLate = value;
        writes = 0;
    }

    /** Drops the history of all changes so far. */
    synchronized void dropHistory() {
        history.clear();
        historyFrom = revision;
    }

    @Override
    public void handle(HttpExchange exchange) {
        synchronized (this) {
            if (fault == Fault.SILENT) {
                return;
            }
            if (fault == Fault.BUSY) {
                answer(exchange, HttpAnswer.of(UNAVAILABLE));
                return;
            }
            route(exchange);
        }
    }

    @GuardedBy("this")
    private void route(HttpExchange exchange) {
        QueryStringDecoder uri = new QueryStringDecoder(exchange.uri());
        String path = uri.path();
        if (path.equals("/kv-key")) {
            get(exchange, parameter(uri, "key"));
        } else if (path.equals("/kv-range")) {
            range(exchange, parameter(uri, "pathPrefix"));
        } else if (path.equals("/kv-watch")) {
            long wait = Long.parseLong(parameter(uri, "waitMs"));
            watch(exchange, parameter(uri, "pathPrefix"), Long.parseLong(parameter(uri, "after")), wait);
        } else {
            write(exchange, path);
        }
    }

    private void write(HttpExchange exchange, String path) {
        HttpAnswer answer;
        if (path.equals("/kv-txn")) {
            if (writesLate && writes++ % 2 == 0) {
                delayWrite(exchange);
                return;
            }
            answer = transaction(exchange);
        } else if (path.equals("/kv-lease")) {
            leases.put(nextLease, new ArrayList<>());
            answer = StandinJson.answer(
                    OK, Json.object().put("lease", nextLease++).put("ttlS", 1));
        } else {
            long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            answer = HttpAnswer.of(leases.containsKey(lease) ? OK : NOT_FOUND);
            if (path.startsWith("/kv-lease-end/") && leases.containsKey(lease)) {
                leases.remove(lease).forEach(this::remove);
                notifyWatches();
            }
        }
        if (fault != Fault.ANSWER_LOST) {
            answer(exchange, answer);
        }
    }

    private void delayWrite(HttpExchange exchange) {
        long millis = LATE_MILLIS[(int) (lateWrites++ % LATE_MILLIS.length)];
        timers.after(Duration.ofMillis(millis), () -> {
            synchronized (this) {
                transaction(exchange);
            }
        });
    }

    private void answer(HttpExchange exchange, HttpAnswer answer) {
        exchange.answer(answer.with(PlatformHeaders.STORE_ERA, Long.toString(era)));
    }

    private void get(HttpExchange exchange, String key) {
        Item item = items.get(key);
        answer(exchange, item == null ? HttpAnswer.of(NOT_FOUND) : StandinJson.answer(OK, StandinJson.item(key, item)));
    }

    private void range(HttpExchange exchange, String prefix) {
        ObjectNode answer = Json.object();
        ArrayNode list = answer.putArray("items");
        items.tailMap(prefix).forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                list.add(StandinJson.item(key, item));
            }
        });
        answer.put("hasMore", false).put("at", revision);
        answer(exchange, StandinJson.answer(OK, answer));
    }

    private void watch(HttpExchange exchange, String prefix, long after, long waitMillis) {
        Watch watch = new Watch(exchange, prefix, after);
        if (answerWatch(watch, false)) {
            return;
        }
        watches.add(watch);
        timers.after(Duration.ofMillis(waitMillis), () -> {
            synchronized (this) {
                if (watches.remove(watch)) {
                    answerWatch(watch, true);
                }
            }
        });
    }

    /** Responds to the watch, with an empty response only if allowed; returns whether a response was sent. */
    private boolean answerWatch(Watch watch, boolean evenIfEmpty) {
        boolean dropped = watch.after() < historyFrom && watch.after() < revision;
        if (dropped || watch.after() > revision) {
            answer(watch.exchange(), HttpAnswer.of(GONE));
            return true;
        }
        ObjectNode answer = Json.object();
        ArrayNode events = answer.putArray("events");
        for (Event event : history) {
            if (!withholding && event.revision() > watch.after() && event.key().startsWith(watch.prefix())) {
                events.add(StandinJson.event(event));
            }
        }
        if (events.isEmpty() && !evenIfEmpty) {
            return false;
        }
        answer(watch.exchange(), StandinJson.answer(OK, answer.put("at", revision)));
        return true;
    }

    private void notifyWatches() {
        watches.removeIf(watch -> answerWatch(watch, false));
    }

    private HttpAnswer transaction(HttpExchange exchange) {
        JsonNode body;
        try {
            body = Json.read(exchange.body());
        } catch (IOException e) {
            return HttpAnswer.of(NOT_FOUND);
        }
        if (!Streams.stream(body.path("expectedRev")).allMatch(this::holds)) {
            return conflict(body.path("expectedRev"));
        }
        if (!Streams.stream(body.path("puts")).allMatch(this::hasLease)) {
            return HttpAnswer.of(NOT_FOUND);
        }
        for (JsonNode put : body.path("puts")) {
            long lease = put.path("lease").asLong();
            byte[] value = Base64.getDecoder().decode(put.path("value").asText());
            put(put.path("key").asText(), ByteString.copyFrom(value), lease);
        }
        body.path("deletes").forEach(key -> remove(key.asText()));
        notifyWatches();
        return StandinJson.answer(OK, Json.object().put("revision", revision));
    }

    private boolean holds(JsonNode condition) {
        Item stored = items.get(condition.path("key").asText());
        long storedRevision = stored == null ? 0 : stored.revision();
        return storedRevision == condition.path("revision").asLong();
    }

    private boolean hasLease(JsonNode put) {
        long lease = put.path("lease").asLong();
        return lease == 0 || leases.containsKey(lease);
    }

    /** Answers with the current items of all keys that the conditions name. */
    private HttpAnswer conflict(JsonNode conditions) {
        Map<String, Item> current = new LinkedHashMap<>();
        conditions.forEach(condition -> {
            String key = condition.path("key").asText();
            current.put(key, items.get(key));
        });
        return StandinJson.conflict(current);
    }

    private void put(String key, ByteString value, long lease) {
        revision++;
        Item item = new Item(value, revision, lease);
        items.put(key, item);
        history.add(new Event(key, item, revision));
        if (lease != 0) {
            leases.get(lease).add(key);
        }
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, null, revision));
        }
    }

    private static String parameter(QueryStringDecoder uri, String name) {
        return uri.parameters().getOrDefault(name, List.of("")).get(0);
    }
}

package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A sound stand-in of the platform's metadata store: keys, conditions, leases that end, and watches. */
final class Store implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision) {}

    private static final class Lease {
        final long ttlMillis;
        long endsAt;

        Lease(double ttl) {
            ttlMillis = (long) (ttl * 1000);
            endsAt = System.currentTimeMillis() + ttlMillis;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final HttpServer server;
    private long revision = 1;
    private long nextLease = 77000;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes as the operator does; returns at the confirmation. */
    synchronized void write(String key, String text) {
        put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    private void put(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Event(key, item, revision));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, null, revision));
        }
    }

    private void expire() {
        long now = System.currentTimeMillis();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.endsAt < now) {
                ended.add(id);
            }
        });
        ended.forEach(this::end);
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease() == lease) {
                keys.add(key);
            }
        });
        keys.forEach(this::remove);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            ObjectNode answer = JSON.createObjectNode();
            int status;
            synchronized (this) {
                expire();
                status = switch (path) {
                    case "/kv-key" -> key(query, answer);
                    case "/kv-range" -> range(query, answer);
                    case "/kv-watch" -> watch(query, answer);
                    case "/kv-txn" -> transaction(JSON.readTree(body), answer);
                    case "/kv-lease" -> lease(JSON.readTree(body), answer);
                    default -> path.startsWith("/kv-keep/") ? keep(id(path), answer) : endLease(path);
                };
            }
            byte[] bytes = JSON.writeValueAsBytes(answer);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long id(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static ObjectNode json(String key, Item item) {
        return JSON.createObjectNode()
                .put("key", key)
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private int key(Map<String, String> query, ObjectNode answer) {
        Item item = items.get(query.get("key"));
        if (item == null) {
            return 404;
        }
        answer.setAll(json(query.get("key"), item));
        answer.put("at", revision);
        return 200;
    }

    private int range(Map<String, String> query, ObjectNode answer) {
        ArrayNode list = answer.putArray("items");
        String prefix = query.get("pathPrefix");
        String after = query.getOrDefault("after", "");
        items.forEach((key, item) -> {
            if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                list.add(json(key, item));
            }
        });
        answer.put("hasMore", false).put("at", revision);
        return 200;
    }

    private int watch(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        ArrayNode events = answer.putArray("events");
        while (true) {
            for (Event event : history) {
                if (event.revision() > after && event.key().startsWith(query.get("pathPrefix"))) {
                    events.add(
                            event.item() != null
                                    ? json(event.key(), event.item())
                                    : JSON.createObjectNode()
                                            .put("key", event.key())
                                            .put("revision", event.revision())
                                            .put("tombstone", true));
                }
            }
            long left = until - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                answer.put("at", revision);
                return 200;
            }
            wait(Math.min(left, 200));
            expire();
        }
    }

    private int transaction(JsonNode body, ObjectNode answer) {
        boolean holds = true;
        ArrayNode current = JSON.createArrayNode();
        for (JsonNode row : body.path("expectedRev")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
            if (item != null) {
                current.add(json(row.path("key").asText(), item));
            }
        }
        if (!holds) {
            answer.set("items", current);
            return 412;
        }
        for (JsonNode put : body.path("puts")) {
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        for (JsonNode put : body.path("puts")) {
            put(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
        }
        body.path("deletes").forEach(key -> remove(key.asText()));
        answer.put("revision", revision);
        notifyAll();
        return 200;
    }

    private int lease(JsonNode body, ObjectNode answer) {
        Lease lease = new Lease(body.path("ttlS").asDouble());
        leases.put(++nextLease, lease);
        answer.put("lease", nextLease).put("ttlS", lease.ttlMillis / 1000.0);
        return 200;
    }

    private int keep(long id, ObjectNode answer) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        lease.endsAt = System.currentTimeMillis() + lease.ttlMillis;
        answer.put("ttlS", lease.ttlMillis / 1000.0);
        return 200;
    }

    private int endLease(String path) {
        if (!path.startsWith("/kv-lease-end/") || !leases.containsKey(id(path))) {
            return 404;
        }
        end(id(path));
        return 200;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}

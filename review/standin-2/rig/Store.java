package rig;

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

/**
 * Stand-in for the platform's store: keys, watches, conditional changes and leases, as PROTOCOL.md says. It keeps its
 * whole history, has no limits of calls and does not fail.
 */
public final class Store implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(Store::daemon);
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long nextLease = 1;
    private boolean closed;
    private String lateKey = "";
    private double lateSeconds;

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision) {}

    private record Lease(double ttl, long endsAt) {}

    public Store(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 256);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::expire);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** Writes as the operator does. */
    public synchronized void write(String key, String text) {
        put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    /** The next write of the key is done that much later, and its response is lost. */
    public synchronized void doLate(String key, double seconds) {
        lateKey = key;
        lateSeconds = seconds;
    }

    private synchronized double takeLate(JsonNode change) {
        boolean late = change.path("puts").path(0).path("key").asText().equals(lateKey);
        double seconds = late ? lateSeconds : 0;
        lateKey = late ? "" : lateKey;
        return seconds;
    }

    public synchronized int count(String prefix) {
        return (int) items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String path = exchange.getRequestURI().getPath();
            switch (path) {
                case "/kv-key" -> get(exchange, query.get("key"));
                case "/kv-range" -> range(exchange, query);
                case "/kv-watch" -> watch(exchange, query);
                case "/kv-txn" -> transact(exchange, JSON.readTree(body));
                case "/kv-lease" -> grant(exchange, JSON.readTree(body).path("ttlS").asDouble());
                default -> lease(exchange, path);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void answer(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static ObjectNode node(String key, Item item) {
        return JSON.createObjectNode()
                .put("key", key)
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private void get(HttpExchange exchange, String key) throws IOException {
        ObjectNode found;
        synchronized (this) {
            Item item = items.get(key);
            found = item == null ? null : node(key, item).put("at", revision);
        }
        answer(exchange, found == null ? 404 : 200, found);
    }

    private void range(HttpExchange exchange, Map<String, String> query) throws IOException {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode list = body.putArray("items");
        String prefix = query.get("pathPrefix");
        String after = query.getOrDefault("after", "");
        synchronized (this) {
            items.forEach((key, item) -> {
                if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                    list.add(node(key, item));
                }
            });
            body.put("hasMore", false).put("at", revision);
        }
        answer(exchange, 200, body);
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        String prefix = query.get("pathPrefix");
        long after = Long.parseLong(query.get("after"));
        long end = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        ObjectNode body = JSON.createObjectNode();
        ArrayNode events = body.putArray("events");
        synchronized (this) {
            while (true) {
                for (Event event : history) {
                    if (event.revision() > after && event.key().startsWith(prefix)) {
                        events.add(
                                event.item() == null
                                        ? JSON.createObjectNode()
                                                .put("key", event.key())
                                                .put("revision", event.revision())
                                                .put("tombstone", true)
                                        : node(event.key(), event.item()));
                    }
                }
                long left = end - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0 || closed) {
                    break;
                }
                wait(left);
            }
            body.put("at", revision);
        }
        answer(exchange, 200, body);
    }

    private void transact(HttpExchange exchange, JsonNode change) throws IOException, InterruptedException {
        double late = takeLate(change);
        if (late > 0) {
            Thread.sleep((long) (late * 1000));
            apply(change, JSON.createObjectNode());
            Thread.sleep(Long.MAX_VALUE);
        }
        ObjectNode body = JSON.createObjectNode();
        answer(exchange, apply(change, body), body);
    }

    private int apply(JsonNode change, ObjectNode body) {
        int status = 200;
        synchronized (this) {
            ArrayNode current = JSON.createArrayNode();
            for (JsonNode row : change.path("expectedRev")) {
                Item item = items.get(row.path("key").asText());
                if ((item == null ? 0 : item.revision()) != row.path("revision").asLong()) {
                    status = 412;
                }
                if (item != null) {
                    current.add(node(row.path("key").asText(), item));
                }
            }
            for (JsonNode row : change.path("puts")) {
                long lease = row.path("lease").asLong();
                status = status == 200 && lease != 0 && !leases.containsKey(lease) ? 404 : status;
            }
            if (status == 412) {
                body.set("items", current);
            } else if (status == 200) {
                for (JsonNode row : change.path("puts")) {
                    put(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
                }
                change.path("deletes").forEach(key -> remove(key.asText()));
                body.put("revision", revision);
            }
        }
        return status;
    }

    private void grant(HttpExchange exchange, double ttl) throws IOException {
        ObjectNode body = JSON.createObjectNode();
        synchronized (this) {
            leases.put(nextLease, lease(ttl));
            body.put("lease", nextLease++).put("ttlS", ttl);
        }
        answer(exchange, 200, body);
    }

    private static Lease lease(double ttl) {
        return new Lease(ttl, System.nanoTime() + (long) (ttl * 1e9));
    }

    private void lease(HttpExchange exchange, String path) throws IOException {
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        ObjectNode body = null;
        synchronized (this) {
            Lease known = leases.get(id);
            if (known != null && path.startsWith("/kv-keep/")) {
                leases.put(id, lease(known.ttl()));
                body = JSON.createObjectNode().put("ttlS", known.ttl());
            } else if (known != null) {
                end(id);
                body = JSON.createObjectNode();
            }
        }
        answer(exchange, body == null ? 404 : 200, body);
    }

    private synchronized void end(long lease) {
        leases.remove(lease);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease() == lease) {
                keys.add(key);
            }
        });
        keys.forEach(this::remove);
    }

    private void expire() {
        while (!closed) {
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease.endsAt() - now < 0) {
                        ended.add(id);
                    }
                });
                ended.forEach(this::end);
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void put(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Event(key, item, revision));
        notifyAll();
    }

    private synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, null, revision));
            notifyAll();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        notifyAll();
        server.stop(0);
        threads.shutdownNow();
    }
}

package io.beryldock.standin;

import com.google.protobuf.ByteString;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.store.PlatformProtocol;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * The platform's key-value service as a small HTTP server over an {@link InMemoryPlatformStore}.
 *
 * <p>Thread safe. It speaks docs/PLATFORM-PROTOCOL.md and keeps nothing when it ends. Closing it cuts all connections.
 */
public final class StandinPlatformServer implements AutoCloseable {

    private static final String BYTES = "application/octet-stream";
    private static final String TEXT = "text/plain";
    private static final long LONGEST_WAIT_MILLIS = 60_000;

    private final InMemoryPlatformStore store;
    private final StandinResources resources;
    private final boolean ownsResources;
    private final HttpListener listener;

    private StandinPlatformServer(
            InMemoryPlatformStore store, StandinResources resources, boolean ownsResources, InetSocketAddress address)
            throws StandinException {
        this.store = store;
        this.resources = resources;
        this.ownsResources = ownsResources;
        this.listener = HttpListener.start(resources, address, this::handle);
    }

    /** Starts a server with threads of its own; port 0 takes any free one. */
    public static StandinPlatformServer start(InetSocketAddress address) throws StandinException {
        StandinResources resources = StandinResources.start();
        try {
            return new StandinPlatformServer(newStore(resources), resources, true, address);
        } catch (StandinException e) {
            resources.close();
            throw e;
        }
    }

    /** Starts a server on threads that it shares with other stand-ins. */
    public static StandinPlatformServer start(InetSocketAddress address, StandinResources resources)
            throws StandinException {
        return new StandinPlatformServer(newStore(resources), resources, false, address);
    }

    private static InMemoryPlatformStore newStore(StandinResources resources) {
        return InMemoryPlatformStore.create(resources.timers(), new SplittableRandom());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Base address for {@link io.beryldock.store.HttpPlatformStore}. */
    public URI uri() {
        return URI.create(
                "http://" + address().getHostString() + ":" + address().getPort());
    }

    /** The store behind the server, to switch its faults. */
    public InMemoryPlatformStore store() {
        return store;
    }

    @Override
    public void close() {
        listener.close();
        if (ownsResources) {
            resources.close();
        }
    }

    private void handle(HttpExchange exchange) {
        String path = exchange.path();
        try {
            if (path.startsWith(PlatformProtocol.VALUES)) {
                serve(exchange, () -> value(exchange, path.substring(PlatformProtocol.VALUES.length())));
            } else if (path.startsWith(PlatformProtocol.LEASES)) {
                serve(exchange, () -> lease(exchange, path.substring(PlatformProtocol.LEASES.length())));
            } else {
                StoreFaultsResource.handle(exchange, store);
            }
        } catch (IllegalArgumentException e) {
            exchange.answer(PlatformProtocol.BAD_REQUEST, TEXT, e.getMessage());
        }
    }

    /** Shows the faults that hide the store before the call reaches it. */
    private void serve(HttpExchange exchange, Runnable call) {
        if (store.faults().down()) {
            exchange.cutOff();
        } else if (store.faults().refusing()) {
            refuse(exchange);
        } else {
            call.run();
        }
    }

    private void value(HttpExchange exchange, String key) {
        switch (exchange.method()) {
            case "GET" -> read(exchange, key);
            case "PUT" -> write(exchange, key);
            default -> throw new IllegalArgumentException("a value takes GET or PUT, not " + exchange.method());
        }
    }

    private void read(HttpExchange exchange, String key) {
        if (exchange.query("after").isEmpty()) {
            var unused = store.get(key).whenComplete((value, failure) -> {
                if (failure != null) {
                    exchange.cutOff();
                } else {
                    answer(exchange, value, PlatformProtocol.OK, PlatformProtocol.NOT_FOUND);
                }
            });
            return;
        }
        Duration wait = Duration.ofMillis(Math.min(LONGEST_WAIT_MILLIS, number(exchange, "wait")));
        var unused = store.watch(key, number(exchange, "after"), wait).whenComplete((value, failure) -> {
            if (failure != null) {
                exchange.cutOff();
            } else {
                answer(exchange, value, PlatformProtocol.OK, PlatformProtocol.NOTHING_NEW);
            }
        });
    }

    private void write(HttpExchange exchange, String key) {
        if (exchange.body().length > PlatformStore.MAX_VALUE_BYTES) {
            exchange.answer(PlatformProtocol.TOO_LARGE, TEXT, "a value holds at most a megabyte: split it");
            return;
        }
        var unused = store.compareAndSet(key, number(exchange, "expected"), ByteString.copyFrom(exchange.body()))
                .thenAccept(result -> answer(exchange, result));
    }

    private void answer(HttpExchange exchange, WriteResult result) {
        switch (result.kind()) {
            case APPLIED -> {
                exchange.with(PlatformProtocol.VERSION_HEADER, Long.toString(result.version()));
                exchange.answer(PlatformProtocol.OK, BYTES, new byte[0]);
            }
            case CONFLICT -> answer(exchange, result.current(), PlatformProtocol.CONFLICT, PlatformProtocol.CONFLICT);
            case NOT_APPLIED -> refuse(exchange);
            case UNKNOWN -> exchange.cutOff();
            default -> throw new IllegalStateException("no such result: " + result.kind());
        }
    }

    private void lease(HttpExchange exchange, String name) {
        String holder = exchange.query("holder")
                .orElseThrow(() -> new IllegalArgumentException("name the holder: ?holder=HOLDER&millis=MILLIS"));
        Duration length = Duration.ofMillis(number(exchange, "millis"));
        var unused = store.lease(name, holder, length).whenComplete((held, failure) -> {
            if (failure != null) {
                exchange.cutOff();
            } else {
                exchange.answer(held ? PlatformProtocol.OK : PlatformProtocol.CONFLICT, BYTES, new byte[0]);
            }
        });
    }

    private static void refuse(HttpExchange exchange) {
        exchange.with(PlatformProtocol.NOT_APPLIED_HEADER, "true");
        exchange.answer(PlatformProtocol.UNAVAILABLE, TEXT, "the store takes no calls now: come back later");
    }

    private static void answer(HttpExchange exchange, Optional<StoredValue> value, int status, int statusIfNone) {
        long version = value.map(StoredValue::version).orElse(PlatformStore.ABSENT);
        byte[] bytes = value.map(stored -> stored.value().toByteArray()).orElse(new byte[0]);
        exchange.with(PlatformProtocol.VERSION_HEADER, Long.toString(version));
        exchange.answer(value.isPresent() ? status : statusIfNone, BYTES, bytes);
    }

    private static long number(HttpExchange exchange, String name) {
        String text = exchange.query(name).orElse("");
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("the query needs a whole number " + name + "=N, not '" + text + "'", e);
        }
    }
}

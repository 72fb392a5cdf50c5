package io.beryldock.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import io.beryldock.standin.StandinPlatformServer;
import io.beryldock.standin.StandinResources;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the HTTP client against the stand-in server over a real socket. */
final class HttpPlatformStoreTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);
    private static final Duration LEASE = Duration.ofHours(1);
    private static final ByteString ONE = ByteString.copyFromUtf8("one");
    private static final ByteString TWO = ByteString.copyFromUtf8("two");

    private final StandinResources resources = StandinResources.start();
    private StandinPlatformServer server;
    private HttpPlatformStore store;

    @BeforeEach
    void start() throws Exception {
        server = StandinPlatformServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), resources);
        store = HttpPlatformStore.start(server.uri(), TIMEOUT, resources.timers());
    }

    @AfterEach
    void stop() {
        store.close();
        server.close();
        resources.close();
    }

    @Test
    void writeSucceedsOnlyWithTheExpectedVersion() throws Exception {
        String key = "configuration/be east/ü?&";
        assertThat(store.get(key).get()).isEmpty();
        assertThat(store.compareAndSet(key, PlatformStore.ABSENT, ONE).get()).isEqualTo(WriteResult.applied(1));
        WriteResult second = store.compareAndSet(key, PlatformStore.ABSENT, TWO).get();
        assertThat(second.kind()).isEqualTo(WriteResult.Kind.CONFLICT);
        assertThat(second.current()).contains(new StoredValue(1, ONE));
        assertThat(store.compareAndSet(key, 1, TWO).get()).isEqualTo(WriteResult.applied(2));
        assertThat(store.get(key).get()).contains(new StoredValue(2, TWO));
        assertThat(server.store().get(key).get()).contains(new StoredValue(2, TWO));
    }

    @Test
    void writeToAnAbsentKeyWithAnExpectedVersionIsAConflict() throws Exception {
        WriteResult result = store.compareAndSet("key", 7, ONE).get();
        assertThat(result).isEqualTo(WriteResult.conflict(Optional.empty()));
    }

    @Test
    void valueOverTheSizeLimitIsNotAppliedAndValueAtTheLimitIsStored() throws Exception {
        ByteString largest = ByteString.copyFrom(new byte[PlatformStore.MAX_VALUE_BYTES]);
        ByteString over = largest.concat(ByteString.copyFromUtf8("x"));
        assertThat(store.compareAndSet("key", 0, over).get()).isEqualTo(WriteResult.notApplied());
        assertThat(store.compareAndSet("key", 0, largest).get()).isEqualTo(WriteResult.applied(1));
        assertThat(store.get("key").get()).contains(new StoredValue(1, largest));
    }

    @Test
    void watchCompletesWithTheWrittenValueOrEmptyAfterItsWait() throws Exception {
        CompletableFuture<Optional<StoredValue>> watch = store.watch("key", 0, TIMEOUT);
        assertThat(store.compareAndSet("key", 0, ONE).get().kind()).isEqualTo(WriteResult.Kind.APPLIED);
        assertThat(watch.get()).contains(new StoredValue(1, ONE));
        assertThat(store.watch("key", 0, TIMEOUT).get()).contains(new StoredValue(1, ONE));
        assertThat(store.watch("key", 1, Duration.ofMillis(1)).get()).isEmpty();
    }

    @Test
    void leaseHasOneHolderUntilItExpires() throws Exception {
        assertThat(store.lease("watcher", "node 1", LEASE).get()).isTrue();
        assertThat(store.lease("watcher", "node 2", LEASE).get()).isFalse();
        assertThat(store.lease("watcher", "node 1", LEASE).get()).isTrue();
        server.store().lapseLeases();
        assertThat(store.lease("watcher", "node 2", LEASE).get()).isTrue();
    }

    /**
     * Guards against a write that is reported as not applied although it took effect: the connection fails after the
     * store has applied the write and before it answers. The writer would repeat the write or misinform the operator.
     */
    @Test
    void writeWhoseAnswerIsLostIsUnknown() throws Exception {
        server.store().setFaults(StoreFaults.none().withLoseNext(1));
        assertThat(store.compareAndSet("key", 0, ONE).get()).isEqualTo(WriteResult.unknown());
        assertThat(store.get("key").get()).contains(new StoredValue(1, ONE));
        assertThat(server.store().counts().writes()).as("number of writes sent").isEqualTo(1);
    }

    @Test
    void writeWhoseConnectionClosesBeforeTheEffectIsUnknown() throws Exception {
        server.store().setFaults(StoreFaults.none().withDown(true));
        assertThat(store.compareAndSet("key", 0, ONE).get()).isEqualTo(WriteResult.unknown());
        assertThatThrownBy(() -> store.get("key").get())
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(PlatformException.class);
    }

    @Test
    void writeToASilentStoreIsUnknownAfterTheTimeout() throws Exception {
        server.store().setFaults(StoreFaults.none().withSilent(true));
        try (HttpPlatformStore shortTimeoutStore =
                HttpPlatformStore.start(server.uri(), SHORT_TIMEOUT, resources.timers())) {
            assertThat(shortTimeoutStore.compareAndSet("key", 0, ONE).get()).isEqualTo(WriteResult.unknown());
        }
    }

    @Test
    void writeRefusedByTheStoreIsNotApplied() throws Exception {
        server.store().setFaults(StoreFaults.none().withRefusing(true));
        assertThat(store.compareAndSet("key", 0, ONE).get()).isEqualTo(WriteResult.notApplied());
        server.store().setFaults(StoreFaults.none());
        assertThat(store.get("key").get()).isEmpty();
    }

    @Test
    void writeWithoutAConnectionIsNotApplied() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        URI closedPortAddress = URI.create("http://127.0.0.1:" + port);
        try (HttpPlatformStore unreachableStore =
                HttpPlatformStore.start(closedPortAddress, TIMEOUT, resources.timers())) {
            assertThat(unreachableStore.compareAndSet("key", 0, ONE).get()).isEqualTo(WriteResult.notApplied());
        }
    }
}

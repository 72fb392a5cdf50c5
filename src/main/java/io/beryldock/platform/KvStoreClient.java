package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.common.net.UrlEscapers;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpCall;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpExchangeException;
import io.beryldock.nettyhttp.HttpReply;
import io.beryldock.store.PlatformException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.RegistryStore;
import io.beryldock.store.StoreEras;
import io.beryldock.store.StoreRevision;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * The one client of the platform's store.
 *
 * <p>Thread safe; never blocks its caller; sends no request twice. A conditional write is
 * {@link WriteResult.Kind#NOT_APPLIED} only when it was never sent or the store says that nothing was done; every other
 * failure may hide an effect, also a later one, and is {@link WriteResult.Kind#UNKNOWN}.
 */
final class KvStoreClient implements PlatformStore, RegistryStore {

    /**
     * Longest wait for an answer beyond the time that a watch asked for. A store that is 60 times slower than its usual
     * 4 ms answers in 240 ms.
     */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1200);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int HISTORY_GONE = 410;
    private static final double MILLIS_PER_SECOND = 1000;
    /** A key that need not exist. */
    private static final String PROBED = "beryldock/probe";

    private static final String REMEDY = "; go on with what is known and ask again later";

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    private final InetSocketAddress address;
    private final HttpClient client;
    private final StoreEras eras = StoreEras.create();

    private KvStoreClient(InetSocketAddress address, HttpClient client) {
        this.address = address;
        this.client = client;
    }

    static KvStoreClient create(InetSocketAddress address, HttpClient client) {
        return new KvStoreClient(address, client);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return ask("GET", "/kv-key?key=" + escaped(key), ByteString.EMPTY, Duration.ZERO)
                .thenApply(reply -> {
                    if (reply.status() == NOT_FOUND) {
                        return Optional.empty();
                    }
                    return Optional.of(stored(KvJson.read(checked(reply)), eraOf(reply)));
                });
    }

    private static StoredValue stored(JsonNode item, long era) {
        return new StoredValue(KvVersion.of(KvJson.revision(item, era)), KvJson.value(item));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        StoreRevision expected = KvVersion.revision(expectedVersion);
        boolean mustExist = expectedVersion != ABSENT;
        if (mustExist && expected.era() < eras.newest()) {
            return conflict(key);
        }
        ByteString body = KvJson.writeRequest(key, value, 0, Optional.of(expected.number()));
        return exchange("POST", "/kv-txn", body, Duration.ZERO)
                .handle((reply, failure) -> written(reply, failure, expected, mustExist));
    }

    /** A version of an earlier era is surely replaced, though its revision may be given out again. */
    private CompletableFuture<WriteResult> conflict(String key) {
        return get(key).handle((found, failure) -> {
            if (failure != null) {
                log.atWarning().withCause(failure).log("%s can't be read back and was not written", key);
                return WriteResult.notApplied();
            }
            return WriteResult.conflict(found);
        });
    }

    /** What was written in another era than that of the condition may have replaced anything. */
    private WriteResult written(HttpReply reply, Throwable failure, StoreRevision expected, boolean mustExist) {
        WriteResult result = written(reply, failure);
        boolean applied = result.kind() == WriteResult.Kind.APPLIED;
        return applied && mustExist && eraOf(reply) != expected.era() ? WriteResult.unknown() : result;
    }

    private WriteResult written(HttpReply reply, Throwable failure) {
        if (failure != null) {
            return HttpExchangeException.isNotSent(failure) ? WriteResult.notApplied() : WriteResult.unknown();
        }
        return KvWrites.result(reply, eraOf(reply));
    }

    /** The name stands as a key under a lease of the store; who holds it is its value. */
    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        ByteString value = ByteString.copyFromUtf8(holder);
        return get(name).thenCompose(found -> {
            if (found.isPresent()) {
                return CompletableFuture.completedFuture(found.get().value().equals(value));
            }
            return grantLease(length).thenCompose(lease -> {
                ByteString body = KvJson.writeRequest(name, value, lease, Optional.of(ABSENT));
                return exchange("POST", "/kv-txn", body, Duration.ZERO)
                        .handle(this::written)
                        .thenApply(result -> result.kind() == WriteResult.Kind.APPLIED);
            });
        });
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        StoreRevision known = KvVersion.revision(afterVersion);
        StoreRevision after = afterVersion == ABSENT ? new StoreRevision(eras.newest(), 0) : known;
        return changes(key, after, wait).thenCompose(changes -> {
            Optional<Entry> last = changes.entries().stream()
                    .filter(entry -> entry.key().equals(key))
                    .reduce((earlier, later) -> later);
            if (changes.historyGone() || !changes.revision().isSameEra(after)) {
                return get(key);
            }
            return CompletableFuture.completedFuture(last.flatMap(entry ->
                    entry.value().map(value -> new StoredValue(KvVersion.of(entry.revision()), value))));
        });
    }

    @Override
    public StoreEras eras() {
        return eras;
    }

    @Override
    public CompletableFuture<Listing> list(String prefix) {
        return page(prefix, "", ImmutableList.of(), Optional.empty());
    }

    /** Pages are no snapshot: changes are followed from the revision of the first one. */
    private CompletableFuture<Listing> page(
            String prefix, String after, ImmutableList<Entry> before, Optional<StoreRevision> first) {
        String from = after.isEmpty() ? "" : "&after=" + escaped(after);
        String uri = "/kv-range?pathPrefix=" + escaped(prefix) + from;
        return ask("GET", uri, ByteString.EMPTY, Duration.ZERO).thenCompose(reply -> {
            JsonNode answer = KvJson.read(checked(reply));
            StoreRevision at = new StoreRevision(eraOf(reply), answer.path("at").asLong());
            StoreRevision revision = first.orElse(at);
            if (!at.isSameEra(revision)) {
                return CompletableFuture.failedFuture(
                        new PlatformException("the store came back from an older copy between two pages" + REMEDY));
            }
            ImmutableList<Entry> page = KvJson.entries(answer.path("items"), at.era());
            ImmutableList<Entry> all =
                    ImmutableList.<Entry>builder().addAll(before).addAll(page).build();
            if (!answer.path("hasMore").asBoolean() || page.isEmpty()) {
                return CompletableFuture.completedFuture(new Listing(all, revision));
            }
            return page(prefix, page.get(page.size() - 1).key(), all, Optional.of(revision));
        });
    }

    @Override
    public CompletableFuture<Changes> changes(String prefix, StoreRevision after, Duration wait) {
        String uri =
                "/kv-watch?pathPrefix=" + escaped(prefix) + "&after=" + after.number() + "&waitMs=" + wait.toMillis();
        return ask("GET", uri, ByteString.EMPTY, wait).thenApply(reply -> {
            long era = eraOf(reply);
            if (reply.status() == HISTORY_GONE) {
                return new Changes(true, ImmutableList.of(), new StoreRevision(era, after.number()));
            }
            JsonNode answer = KvJson.read(checked(reply));
            StoreRevision at = new StoreRevision(era, answer.path("at").asLong());
            return new Changes(false, KvJson.entries(answer.path("events"), era), at.isAfter(after) ? at : after);
        });
    }

    /** Reads a key that may be absent from a copy that may be old: the cheapest call there is. */
    @Override
    public CompletableFuture<Void> probe() {
        return ask("GET", "/kv-key?key=" + escaped(PROBED) + "&allowStale=1", ByteString.EMPTY, Duration.ZERO)
                .thenAccept(KvStoreClient::found);
    }

    @Override
    public CompletableFuture<Long> grantLease(Duration length) {
        ByteString body = KvJson.leaseRequest(length.toMillis() / MILLIS_PER_SECOND);
        return ask("POST", "/kv-lease", body, Duration.ZERO)
                .thenApply(reply -> KvJson.lease(KvJson.read(checked(reply))));
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return ask("POST", "/kv-keep/" + lease, ByteString.EMPTY, Duration.ZERO).thenApply(KvStoreClient::found);
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        return ask("DELETE", "/kv-lease-end/" + lease, ByteString.EMPTY, Duration.ZERO)
                .thenAccept(KvStoreClient::found);
    }

    @Override
    public CompletableFuture<Boolean> put(String key, ByteString value, long lease) {
        ByteString body = KvJson.writeRequest(key, value, lease, Optional.empty());
        return ask("POST", "/kv-txn", body, Duration.ZERO).thenApply(KvStoreClient::found);
    }

    private static boolean found(HttpReply reply) {
        return reply.status() != NOT_FOUND && checked(reply) != null;
    }

    private static HttpReply checked(HttpReply reply) {
        if (reply.status() != OK) {
            throw new CompletionException(
                    new PlatformException("the platform store answered " + reply.status() + REMEDY));
        }
        return reply;
    }

    private static String escaped(String text) {
        return UrlEscapers.urlFormParameterEscaper().escape(text);
    }

    private CompletableFuture<HttpReply> ask(String method, String uri, ByteString body, Duration wait) {
        return exchange(method, uri, body, wait)
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(
                        new PlatformException("no answer from the platform store" + REMEDY, failure)));
    }

    private CompletableFuture<HttpReply> exchange(String method, String uri, ByteString body, Duration wait) {
        Headers headers = Headers.empty().with("Host", address.getHostString() + ":" + address.getPort());
        Headers typed = body.isEmpty() ? headers : headers.with("Content-Type", "application/json");
        return client.send(address, HttpCall.of(method, uri, typed, body), wait.plus(ANSWER_TIMEOUT))
                .whenComplete((reply, failure) -> {
                    if (failure == null) {
                        noteEra(reply);
                    }
                });
    }

    private void noteEra(HttpReply reply) {
        eras.note(eraOf(reply));
    }

    /** The era that the answer names; one that names none is taken to be of the last one known. */
    private long eraOf(HttpReply reply) {
        Optional<String> text = reply.headers().first(PlatformHeaders.STORE_ERA);
        Optional<Long> era = text.map(Longs::tryParse);
        if (text.isPresent() && era.isEmpty()) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "the store names no number as its era but '%s'; the last one is taken to hold", text.get());
        }
        return era.orElseGet(eras::newest);
    }
}

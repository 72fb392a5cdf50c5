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
 * The client of the platform's store.
 *
 * <p>Thread safe; never blocks its caller; sends no request twice. A conditional write results in
 * {@link WriteResult.Kind#NOT_APPLIED} only if the request was never sent or the store reports that the write had no
 * effect. After any other failure the write may have been applied or may still be applied later, so the result is
 * {@link WriteResult.Kind#UNKNOWN}.
 */
final class KvStoreClient implements PlatformStore, RegistryStore {

    /**
     * Time-out of a response, in addition to the wait that a watch requests. A store that is 60 times slower than its
     * usual 4 ms responds within 240 ms.
     */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1200);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int HISTORY_GONE = 410;
    private static final double MILLIS_PER_SECOND = 1000;

    /** Prefix under which no keys are written. */
    private static final String EMPTY_PREFIX = "beryldock/none/";

    private static final String REMEDY = "; continue with the last known state and retry later";

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
        return call("GET", "/kv-key?key=" + escape(key), ByteString.EMPTY, Duration.ZERO)
                .thenApply(reply -> {
                    if (reply.status() == NOT_FOUND) {
                        return Optional.empty();
                    }
                    return Optional.of(toStoredValue(KvJson.read(checked(reply)), eraOf(reply)));
                });
    }

    private static StoredValue toStoredValue(JsonNode item, long era) {
        return new StoredValue(KvVersion.of(KvJson.revision(item, era)), KvJson.value(item));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        StoreRevision expected = KvVersion.revision(expectedVersion);
        boolean mustExist = expectedVersion != ABSENT;
        if (mustExist && expected.era() < eras.newest()) {
            return readConflict(key);
        }
        ByteString body = KvJson.writeRequest(ImmutableList.of(new ConditionalWrite(key, value, NO_LEASE, expected)));
        return exchange("POST", "/kv-txn", body, Duration.ZERO)
                .handle((reply, failure) -> toWriteResult(reply, failure, expected, mustExist));
    }

    /**
     * Reads the current value for the result of a write whose expected version is of an earlier era. Such a version is
     * no longer current, even if the store has assigned its revision number again.
     */
    private CompletableFuture<WriteResult> readConflict(String key) {
        return get(key).handle((current, failure) -> {
            if (failure != null) {
                log.atWarning().withCause(failure).log(
                        "key %s was not written, and its current value could not be read", key);
                return WriteResult.notApplied();
            }
            return WriteResult.conflict(current);
        });
    }

    /**
     * The result of a conditional write. If the write was applied in another era than the era of the expected version,
     * the replaced value is unknown.
     */
    private WriteResult toWriteResult(HttpReply reply, Throwable failure, StoreRevision expected, boolean mustExist) {
        WriteResult result = toWriteResult(reply, failure);
        boolean applied = result.kind() == WriteResult.Kind.APPLIED;
        return applied && mustExist && eraOf(reply) != expected.era() ? WriteResult.unknown() : result;
    }

    private WriteResult toWriteResult(HttpReply reply, Throwable failure) {
        if (failure != null) {
            return HttpExchangeException.isNotSent(failure) ? WriteResult.notApplied() : WriteResult.unknown();
        }
        return KvWrites.result(reply, eraOf(reply));
    }

    /** Takes the lease by writing a key of its name, attached to a lease of the store; the value names the holder. */
    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        ByteString value = ByteString.copyFromUtf8(holder);
        return get(name).thenCompose(current -> {
            if (current.isPresent()) {
                return CompletableFuture.completedFuture(current.get().value().equals(value));
            }
            return grantLease(length).thenCompose(lease -> {
                ConditionalWrite write = new ConditionalWrite(name, value, lease, StoreRevision.NONE);
                ByteString body = KvJson.writeRequest(ImmutableList.of(write));
                return exchange("POST", "/kv-txn", body, Duration.ZERO)
                        .handle(this::toWriteResult)
                        .thenApply(result -> result.kind() == WriteResult.Kind.APPLIED);
            });
        });
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        StoreRevision knownRevision = KvVersion.revision(afterVersion);
        StoreRevision after = afterVersion == ABSENT ? new StoreRevision(eras.newest(), 0) : knownRevision;
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

    /**
     * Reads the pages of a listing. They form no consistent snapshot, so changes are watched from the first page's
     * revision.
     */
    private CompletableFuture<Listing> page(
            String prefix, String after, ImmutableList<Entry> previousPages, Optional<StoreRevision> firstRevision) {
        String from = after.isEmpty() ? "" : "&after=" + escape(after);
        String uri = "/kv-range?pathPrefix=" + escape(prefix) + from;
        return call("GET", uri, ByteString.EMPTY, Duration.ZERO).thenCompose(reply -> {
            JsonNode answer = KvJson.read(checked(reply));
            StoreRevision at = new StoreRevision(eraOf(reply), answer.path("at").asLong());
            StoreRevision revision = firstRevision.orElse(at);
            if (!at.isSameEra(revision)) {
                return CompletableFuture.failedFuture(
                        new PlatformException("the store was restored from an older copy between two pages" + REMEDY));
            }
            ImmutableList<Entry> page = KvJson.entries(answer.path("items"), at.era());
            ImmutableList<Entry> all = ImmutableList.<Entry>builder()
                    .addAll(previousPages)
                    .addAll(page)
                    .build();
            if (!answer.path("hasMore").asBoolean() || page.isEmpty()) {
                return CompletableFuture.completedFuture(new Listing(all, revision));
            }
            return page(prefix, page.get(page.size() - 1).key(), all, Optional.of(revision));
        });
    }

    @Override
    public CompletableFuture<Changes> changes(String prefix, StoreRevision after, Duration wait) {
        String uri =
                "/kv-watch?pathPrefix=" + escape(prefix) + "&after=" + after.number() + "&waitMs=" + wait.toMillis();
        return call("GET", uri, ByteString.EMPTY, wait).thenApply(reply -> {
            long era = eraOf(reply);
            if (reply.status() == HISTORY_GONE) {
                return new Changes(true, ImmutableList.of(), new StoreRevision(era, after.number()));
            }
            JsonNode answer = KvJson.read(checked(reply));
            StoreRevision at = new StoreRevision(era, answer.path("at").asLong());
            return new Changes(false, KvJson.entries(answer.path("events"), era), at.isAfter(after) ? at : after);
        });
    }

    /** Lists a prefix without keys: the answer is short, linearizable, and names the store's revision. */
    @Override
    public CompletableFuture<StoreRevision> revision() {
        return call("GET", "/kv-range?pathPrefix=" + escape(EMPTY_PREFIX), ByteString.EMPTY, Duration.ZERO)
                .thenApply(reply -> new StoreRevision(
                        eraOf(reply), KvJson.read(checked(reply)).path("at").asLong()));
    }

    @Override
    public CompletableFuture<Long> grantLease(Duration length) {
        ByteString body = KvJson.leaseRequest(length.toMillis() / MILLIS_PER_SECOND);
        return call("POST", "/kv-lease", body, Duration.ZERO)
                .thenApply(reply -> KvJson.lease(KvJson.read(checked(reply))));
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return call("POST", "/kv-keep/" + lease, ByteString.EMPTY, Duration.ZERO)
                .thenApply(KvStoreClient::exists);
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        return call("DELETE", "/kv-lease-end/" + lease, ByteString.EMPTY, Duration.ZERO)
                .thenAccept(KvStoreClient::exists);
    }

    @Override
    public CompletableFuture<WriteOutcome> write(ImmutableList<ConditionalWrite> writes) {
        return call("POST", "/kv-txn", KvJson.writeRequest(writes), Duration.ZERO)
                .thenApply(reply -> KvWrites.outcome(reply, eraOf(reply)));
    }

    private static boolean exists(HttpReply reply) {
        return reply.status() != NOT_FOUND && checked(reply) != null;
    }

    private static HttpReply checked(HttpReply reply) {
        if (reply.status() != OK) {
            throw new CompletionException(
                    new PlatformException("the platform store responded with status " + reply.status() + REMEDY));
        }
        return reply;
    }

    private static String escape(String text) {
        return UrlEscapers.urlFormParameterEscaper().escape(text);
    }

    private CompletableFuture<HttpReply> call(String method, String uri, ByteString body, Duration wait) {
        return exchange(method, uri, body, wait)
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(
                        new PlatformException("no response from the platform store" + REMEDY, failure)));
    }

    private CompletableFuture<HttpReply> exchange(String method, String uri, ByteString body, Duration wait) {
        Headers headers = Headers.empty().with("Host", address.getHostString() + ":" + address.getPort());
        Headers typed = body.isEmpty() ? headers : headers.with("Content-Type", "application/json");
        return client.send(address, HttpCall.of(method, uri, typed, body), wait.plus(RESPONSE_TIMEOUT))
                .whenComplete((reply, failure) -> {
                    if (failure == null) {
                        recordEra(reply);
                    }
                });
    }

    private void recordEra(HttpReply reply) {
        eras.observe(eraOf(reply));
    }

    /** The era that the response names, or the newest known era if the response names none. */
    private long eraOf(HttpReply reply) {
        Optional<String> text = reply.headers().first(PlatformHeaders.STORE_ERA);
        Optional<Long> era = text.map(Longs::tryParse);
        if (text.isPresent() && era.isEmpty()) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "the store sent an era that is not a number: '%s'; using the newest known era", text.get());
        }
        return era.orElseGet(eras::newest);
    }
}

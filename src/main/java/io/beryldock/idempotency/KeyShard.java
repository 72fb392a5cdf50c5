package io.beryldock.idempotency;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.Reason;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Binds the keys of one shard, batching many bindings into each write.
 *
 * <p>Any number of nodes may write the same shard concurrently: a binding is reported only after the store has applied
 * the write that contains it, or after it has been read back from the store. At most one operation of this shard is
 * pending at this node. Called on the control thread only.
 */
final class KeyShard {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Maximum number of keys that wait for the store. */
    private static final int MAX_WAITING = 5_000;
    /** Maximum number of documents read concurrently. */
    private static final int READ_CHUNK = 16;
    /** Upper bound for the bytes of a binding whose ticket home occurs nowhere else in the document. */
    static final int MAX_BINDING_BYTES = 400;
    /** Maximum back-off, as a multiple of the initial back-off. */
    private static final int MAX_BACKOFF = 16;
    /** Age, in generation ages, at which a local copy is discarded if no read or write has confirmed it. */
    private static final int COPY_AGES = 4;

    private final int shard;
    private final IdempotencyPorts ports;
    private final KeySettings settings;
    private final KeyRing ring;
    private final Map<CallerKey, List<Waiter>> waiting = new LinkedHashMap<>();

    private boolean operationPending;
    private int backoff = 1;
    private long confirmedAt;
    private long writableAt;
    private long openGeneration;
    private long openSince;

    private KeyShard(int shard, IdempotencyPorts ports, KeySettings settings) {
        this.shard = shard;
        this.ports = ports;
        this.settings = settings;
        this.ring = KeyRing.create(settings.generations());
        this.confirmedAt = now();
        this.writableAt = now();
    }

    static KeyShard create(int shard, IdempotencyPorts ports, KeySettings settings) {
        return new KeyShard(shard, ports, settings);
    }

    /** Binds the key or returns its existing binding; Unknown if neither is confirmed in time. */
    CompletableFuture<BindResult> bind(KeyBinding proposal, Duration timeLeft) {
        if (waiting.size() >= MAX_WAITING) {
            return CompletableFuture.completedFuture(unknown("too many keys wait for the platform store"));
        }
        CompletableFuture<BindResult> result = new CompletableFuture<>();
        Waiter waiter = new Waiter(proposal, result);
        waiting.computeIfAbsent(proposal.key(), key -> new ArrayList<>(1)).add(waiter);
        TimerService.Subscription timeoutTimer =
                ports.timers().after(timeLeft, () -> ports.control().execute(() -> timeOut(waiter)));
        FutureCallbacks.onComplete(result, (unused, failure) -> timeoutTimer.cancel());
        step();
        return result;
    }

    /** Whether no caller waits and the local copy has expired, so that the shard may be discarded. */
    boolean isIdle() {
        return waiting.isEmpty() && !operationPending && copyExpired();
    }

    private boolean copyExpired() {
        return now() - confirmedAt >= settings.generationAge().toNanos() * COPY_AGES;
    }

    private void timeOut(Waiter waiter) {
        List<Waiter> list = waiting.get(waiter.proposal().key());
        if (list != null && list.remove(waiter) && list.isEmpty()) {
            waiting.remove(waiter.proposal().key());
        }
        waiter.result().complete(unknown("the platform store did not answer in time"));
    }

    private static BindResult unknown(String detail) {
        return new BindResult.Unknown(
                Reason.KEY_STORE_DOWN,
                detail + "; send it again under the same key, or take a ticket for a new request");
    }

    /** Starts the next operation, if any; called after every state change. */
    private void step() {
        if (operationPending) {
            return;
        }
        if (copyExpired()) {
            ring.clear();
        }
        completeFound();
        if (waiting.isEmpty()) {
            return;
        }
        List<Integer> stale = ring.staleSlots();
        if (!stale.isEmpty()) {
            read(stale);
            return;
        }
        long wait = writableAt - now();
        if (wait > 0) {
            pause(Duration.ofNanos(wait));
            return;
        }
        write();
    }

    private void completeFound() {
        for (CallerKey key : List.copyOf(waiting.keySet())) {
            Optional<KeyBinding> found = ring.find(key);
            if (found.isPresent()) {
                List<Waiter> list = waiting.remove(key);
                list.forEach(waiter -> waiter.result()
                        .complete(found.get().resultFor(waiter.proposal().scope())));
            }
        }
    }

    private void pause(Duration length) {
        operationPending = true;
        ports.timers().after(length, () -> ports.control().execute(this::resume));
    }

    private void resume() {
        operationPending = false;
        step();
    }

    private void pauseAfterFailure() {
        Duration length = settings.retryGap().multipliedBy(backoff);
        backoff = Math.min(MAX_BACKOFF, 2 * backoff);
        pause(length);
    }

    private void markConfirmed() {
        backoff = 1;
        confirmedAt = now();
    }

    private String storeKey(int slot) {
        return settings.prefix() + shard + "/" + slot;
    }

    /**
     * Reads some of the stale slots. The first slot is read alone, because in a new shard it is the only one in use.
     * After a failure a single slot is read as well, since the store may still be unavailable.
     */
    private void read(List<Integer> stale) {
        operationPending = true;
        List<Integer> chunk = stale.subList(0, backoff > 1 || ring.isUnread() ? 1 : Math.min(READ_CHUNK, stale.size()));
        FutureCallbacks.onComplete(readAll(chunk), ports.control(), (documents, failure) -> {
            if (failure != null) {
                log.atFine().withCause(failure).log(
                        "cannot read key documents of shard %d from the platform store", shard);
                pauseAfterFailure();
                return;
            }
            for (int i = 0; i < documents.size(); i++) {
                ring.put(chunk.get(i), documents.get(i));
            }
            markConfirmed();
            trackNewestGeneration();
            resume();
        });
    }

    private CompletableFuture<List<KeyDocument>> readAll(List<Integer> list) {
        CompletableFuture<List<KeyDocument>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (int slot : list) {
            all = all.thenCombine(
                    ports.store().get(storeKey(slot)).thenCompose(KeyShard::parse), (documents, document) -> {
                        documents.add(document);
                        return documents;
                    });
        }
        return all;
    }

    private static CompletableFuture<KeyDocument> parse(Optional<StoredValue> stored) {
        try {
            return CompletableFuture.completedFuture(KeyDocument.read(stored));
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Records when this node first saw the newest generation open. The age derived from it never exceeds the true age.
     */
    private void trackNewestGeneration() {
        long newest = ring.newest().generation();
        if (newest != openGeneration) {
            openGeneration = newest;
            openSince = now();
        }
    }

    private void write() {
        KeyDocument newest = ring.newest();
        boolean open = newest.generation() > 0 && !newest.sealed();
        boolean aged = now() - openSince >= settings.generationAge().toNanos();
        if (open && aged) {
            write(ring.seal(), List.of());
            return;
        }
        List<KeyBinding> batch = batch(open ? newest.toBytes().size() : 0);
        if (batch.isEmpty()) {
            refuseAll();
            return;
        }
        boolean unbound =
                batch.stream().noneMatch(binding -> ring.find(binding.key()).isPresent());
        Invariants.check(ports.events(), unbound, storeKey(0), "a key must be bound once");
        write(ring.add(batch), batch);
    }

    private List<KeyBinding> batch(int bytes) {
        int room = Math.max(0, settings.maxDocumentBytes() - bytes) / MAX_BINDING_BYTES;
        return waiting.values().stream()
                .limit(room)
                .map(list -> list.get(0).proposal())
                .toList();
    }

    /**
     * Refuses all waiting keys because the document is full before its generation may be sealed. No older binding is
     * dropped to make room.
     */
    private void refuseAll() {
        List<List<Waiter>> all = List.copyOf(waiting.values());
        waiting.clear();
        all.forEach(list ->
                list.forEach(waiter -> waiter.result().complete(unknown("the shard holds as many keys as it may"))));
    }

    private void write(KeyRing.Write write, List<KeyBinding> batch) {
        operationPending = true;
        writableAt = now() + settings.writeGap().toNanos();
        CompletableFuture<WriteResult> written = ports.store()
                .compareAndSet(
                        storeKey(write.slot()),
                        write.document().version(),
                        write.document().toBytes());
        FutureCallbacks.onComplete(written, ports.control(), (result, failure) -> {
            WriteResult writeResult = failure == null ? result : WriteResult.unknown();
            handleWriteResult(write, batch, writeResult);
        });
    }

    private void handleWriteResult(KeyRing.Write write, List<KeyBinding> batch, WriteResult result) {
        switch (result.kind()) {
            case APPLIED -> {
                ring.put(write.slot(), write.document().withVersion(result.version()));
                markConfirmed();
                trackNewestGeneration();
                if (!batch.isEmpty()) {
                    ports.events().record(EventKind.KEY_BOUND, storeKey(write.slot()), batch.size() + " keys");
                }
                resume();
            }
            case CONFLICT -> {
                // Another node wrote first; its document is read before the write is retried.
                ring.invalidate(write.slot());
                resume();
            }
            case NOT_APPLIED -> pauseAfterFailure();
            case UNKNOWN -> {
                // The write may have been applied or may still be applied, so the slot is read again. A key found there
                // is bound. If the slot is unchanged, the next write expects the same version, so that at most one of
                // the two writes is applied.
                ring.invalidate(write.slot());
                pauseAfterFailure();
            }
        }
    }

    private long now() {
        return ports.timers().ticker().nanos();
    }

    private record Waiter(KeyBinding proposal, CompletableFuture<BindResult> result) {}
}

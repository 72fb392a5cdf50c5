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
 * Binds the keys of one shard, many with each write.
 *
 * <p>Any number of nodes may do so for one shard at once: a binding is told only after the store applied the write that
 * holds it, or was read back with it. At most one call of this shard is under way. Called on the control thread only.
 */
final class KeyShard {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Keys that may wait at once. */
    private static final int MAX_WAITING = 5_000;
    /** Documents read at once. */
    private static final int READ_CHUNK = 16;
    /** Bytes of a binding with a home of its own. */
    static final int MAX_BINDING_BYTES = 400;
    /** Longest wait before the store is asked again, as a multiple of the first. */
    private static final int MAX_BACKOFF = 16;
    /** Age at which a copy that nothing confirmed is dropped, in generation ages. */
    private static final int COPY_AGES = 4;

    private final int number;
    private final IdempotencyPorts ports;
    private final KeySettings settings;
    private final KeyRing ring;
    private final Map<CallerKey, List<Waiter>> waiting = new LinkedHashMap<>();

    private boolean busy;
    private int backoff = 1;
    private long confirmedAt;
    private long writableAt;
    private long openGeneration;
    private long openSince;

    private KeyShard(int number, IdempotencyPorts ports, KeySettings settings) {
        this.number = number;
        this.ports = ports;
        this.settings = settings;
        this.ring = KeyRing.create(settings.generations());
        this.confirmedAt = now();
        this.writableAt = now();
    }

    static KeyShard create(int number, IdempotencyPorts ports, KeySettings settings) {
        return new KeyShard(number, ports, settings);
    }

    /** Binds, or finds what the key is bound to already; Unknown when neither is sure in time. */
    CompletableFuture<BindResult> bind(KeyBinding wanted, Duration timeLeft) {
        if (waiting.size() >= MAX_WAITING) {
            return CompletableFuture.completedFuture(unknown("too many keys wait for the platform store"));
        }
        CompletableFuture<BindResult> told = new CompletableFuture<>();
        Waiter waiter = new Waiter(wanted, told);
        waiting.computeIfAbsent(wanted.key(), key -> new ArrayList<>(1)).add(waiter);
        TimerService.Subscription overdue =
                ports.timers().after(timeLeft, () -> ports.control().execute(() -> giveUp(waiter)));
        FutureCallbacks.onEnd(told, (result, failure) -> overdue.cancel());
        step();
        return told;
    }

    /** Whether nothing waits and the copy of the documents is old, so that the shard may be dropped. */
    boolean idle() {
        return waiting.isEmpty() && !busy && copyIsOld();
    }

    private boolean copyIsOld() {
        return now() - confirmedAt >= settings.generationAge().toNanos() * COPY_AGES;
    }

    private void giveUp(Waiter waiter) {
        List<Waiter> list = waiting.get(waiter.wanted().key());
        if (list != null && list.remove(waiter) && list.isEmpty()) {
            waiting.remove(waiter.wanted().key());
        }
        waiter.told().complete(unknown("the platform store did not answer in time"));
    }

    private static BindResult unknown(String detail) {
        return new BindResult.Unknown(
                Reason.KEY_STORE_DOWN,
                detail + "; send it again under the same key, or take a ticket for a new request");
    }

    /** Does the next thing there is to do; called whenever something changed. */
    private void step() {
        if (busy) {
            return;
        }
        if (copyIsOld()) {
            ring.forgetAll();
        }
        answerFound();
        if (waiting.isEmpty()) {
            return;
        }
        List<Integer> stale = ring.stale();
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

    private void answerFound() {
        for (CallerKey key : List.copyOf(waiting.keySet())) {
            Optional<KeyBinding> found = ring.find(key);
            if (found.isPresent()) {
                List<Waiter> list = waiting.remove(key);
                list.forEach(waiter -> waiter.told()
                        .complete(found.get().resultFor(waiter.wanted().scope())));
            }
        }
    }

    private void pause(Duration length) {
        busy = true;
        ports.timers().after(length, () -> ports.control().execute(this::resume));
    }

    private void resume() {
        busy = false;
        step();
    }

    private void pauseAfterFailure() {
        Duration length = settings.retryGap().multipliedBy(backoff);
        backoff = Math.min(MAX_BACKOFF, 2 * backoff);
        pause(length);
    }

    private void confirmed() {
        backoff = 1;
        confirmedAt = now();
    }

    private String place(int place) {
        return settings.prefix() + number + "/" + place;
    }

    /**
     * Reads some of the stale places. The first alone: in a young shard it is the only one. After a failure one alone,
     * since the store may still be down.
     */
    private void read(List<Integer> stale) {
        busy = true;
        List<Integer> chunk =
                stale.subList(0, backoff > 1 || ring.isUnknown() ? 1 : Math.min(READ_CHUNK, stale.size()));
        FutureCallbacks.onEnd(readAll(chunk), ports.control(), (documents, failure) -> {
            if (failure != null) {
                log.atFine().withCause(failure).log("keys of shard %d can't be read", number);
                pauseAfterFailure();
                return;
            }
            for (int i = 0; i < documents.size(); i++) {
                ring.put(chunk.get(i), documents.get(i));
            }
            confirmed();
            noteGeneration();
            resume();
        });
    }

    private CompletableFuture<List<KeyDocument>> readAll(List<Integer> list) {
        CompletableFuture<List<KeyDocument>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (int place : list) {
            all = all.thenCombine(
                    ports.store().get(place(place)).thenCompose(KeyShard::parse), (documents, document) -> {
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

    /** Notes since when this node has seen the newest generation open: its age here is never more than its true one. */
    private void noteGeneration() {
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
        Invariants.check(ports.events(), unbound, place(0), "a key must be bound once");
        write(ring.add(batch), batch);
    }

    private List<KeyBinding> batch(int bytes) {
        int room = Math.max(0, settings.maxDocumentBytes() - bytes) / MAX_BINDING_BYTES;
        return waiting.values().stream()
                .limit(room)
                .map(list -> list.get(0).wanted())
                .toList();
    }

    /** The document is full before its time: nothing is forgotten early to make room. */
    private void refuseAll() {
        List<List<Waiter>> all = List.copyOf(waiting.values());
        waiting.clear();
        all.forEach(list ->
                list.forEach(waiter -> waiter.told().complete(unknown("the shard holds as many keys as it may"))));
    }

    private void write(KeyRing.Write write, List<KeyBinding> batch) {
        busy = true;
        writableAt = now() + settings.writeGap().toNanos();
        CompletableFuture<WriteResult> written = ports.store()
                .compareAndSet(
                        place(write.place()),
                        write.after().version(),
                        write.after().toBytes());
        FutureCallbacks.onEnd(written, ports.control(), (result, failure) -> {
            WriteResult known = failure == null ? result : WriteResult.unknown();
            written(write, batch, known);
        });
    }

    private void written(KeyRing.Write write, List<KeyBinding> batch, WriteResult result) {
        switch (result.kind()) {
            case APPLIED -> {
                ring.put(write.place(), write.after().written(result.version()));
                confirmed();
                noteGeneration();
                if (!batch.isEmpty()) {
                    ports.events().record(EventKind.KEY_BOUND, place(write.place()), batch.size() + " keys");
                }
                resume();
            }
            case CONFLICT -> {
                // Another node wrote first; its document is read before the next try.
                ring.forget(write.place());
                resume();
            }
            case NOT_APPLIED -> pauseAfterFailure();
            case UNKNOWN -> {
                // The write may have taken effect, and may still do so. The place is read again: a key that it holds is
                // bound. If it is unchanged the next write expects the same version, so that only one of the two
                // counts.
                ring.forget(write.place());
                pauseAfterFailure();
            }
        }
    }

    private long now() {
        return ports.timers().ticker().nanos();
    }

    private record Waiter(KeyBinding wanted, CompletableFuture<BindResult> told) {}
}

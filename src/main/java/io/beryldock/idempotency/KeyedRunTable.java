package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Records which keyed requests a target's node started, their results, and which attempts it refused.
 *
 * <p>The table is bounded in records and in bytes. A record is removed only after the retention period; an answer that
 * exceeds the byte limit is not stored. Thread safe: a short critical section guards the records, and futures complete
 * outside it.
 */
public final class KeyedRunTable {

    private static final long BASE_BYTES = TicketEntry.BASE_BYTES;
    /** Records, as a multiple of the ticket limit, up to which refused attempts are still recorded. */
    private static final int REFUSAL_RECORDS_FACTOR = 2;

    private final TicketSettings settings;
    private final Ticker ticker;
    /** Records by ticket; those that are not running are ordered by their last change. */
    private final Map<String, KeyedRun> records = new LinkedHashMap<>();

    private long bytes;

    private KeyedRunTable(TicketSettings settings, Ticker ticker) {
        this.settings = settings;
        this.ticker = ticker;
    }

    public static KeyedRunTable create(TicketSettings settings, Ticker ticker) {
        return new KeyedRunTable(settings, ticker);
    }

    /**
     * Returns the result of a request, pending while the request runs; empty if the request was not started at this
     * node.
     */
    CompletableFuture<Optional<CallResult>> find(String ticket, TicketScope scope) {
        synchronized (records) {
            KeyedRun record = records.get(ticket);
            if (record == null || record.started == null) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            if (!record.scope.equals(scope)) {
                return CompletableFuture.completedFuture(Optional.of(keyInUse()));
            }
            return record.started.thenApply(Optional::of);
        }
    }

    static CallResult keyInUse() {
        return CallResult.unknown(Reason.KEY_IN_USE, "nothing was run and nothing replayed for this one");
    }

    /** Number of records, running requests included. */
    public int size() {
        synchronized (records) {
            return records.size();
        }
    }

    /**
     * Marks the request as started if it may start.
     *
     * @return empty if the caller must now run the request and report its end by {@link #recordResult}; otherwise the
     *     result to return instead of running it
     */
    Optional<CompletableFuture<CallResult>> tryStart(String ticket, TicketScope scope, RequestId attempt) {
        synchronized (records) {
            expire();
            KeyedRun record = records.get(ticket);
            if (record != null && !record.scope.equals(scope)) {
                return Optional.of(CompletableFuture.completedFuture(keyInUse()));
            }
            if (record != null && record.started != null) {
                return Optional.of(record.started);
            }
            if (record != null && record.refused.contains(attempt)) {
                return Optional.of(CompletableFuture.completedFuture(alreadyRefused()));
            }
            if (record == null && (records.size() >= settings.maxTickets() || bytes >= settings.maxBytes())) {
                return Optional.of(CompletableFuture.completedFuture(refuseForLackOfSpace(ticket, scope, attempt)));
            }
            KeyedRun started = record == null ? add(ticket, scope) : record;
            started.started = new CompletableFuture<>();
            return Optional.empty();
        }
    }

    private static CallResult alreadyRefused() {
        return CallResult.notRun(Reason.TARGET_REFUSED, "this attempt was refused before; it is not started later");
    }

    /**
     * Refuses a request because the table is full.
     *
     * <p>A duplicate of the message may arrive after space has become free again. NOT_RUN is therefore reported only if
     * the refusal itself can be recorded; if there is no space even for that record, the result is UNKNOWN.
     */
    private CallResult refuseForLackOfSpace(String ticket, TicketScope scope, RequestId attempt) {
        String detail = "the target's node remembers as many keyed requests as it may";
        if (records.size() >= REFUSAL_RECORDS_FACTOR * settings.maxTickets()) {
            return CallResult.unknown(Reason.TICKETS_FULL, detail);
        }
        add(ticket, scope).refused.add(attempt);
        return CallResult.notRun(Reason.TICKETS_FULL, detail);
    }

    private KeyedRun add(String ticket, TicketScope scope) {
        KeyedRun record = new KeyedRun(scope, ticker.nanos());
        records.put(ticket, record);
        bytes += BASE_BYTES;
        return record;
    }

    /** Records the result of a request for which {@link #tryStart} returned empty. */
    void recordResult(String ticket, RequestId attempt, CallResult result) {
        CompletableFuture<CallResult> pending;
        synchronized (records) {
            KeyedRun record = records.remove(ticket);
            pending = record.started;
            record.changedAt = ticker.nanos();
            records.put(ticket, record);
            applyResult(record, attempt, result);
        }
        pending.complete(result);
    }

    /** Records an answer that arrives after the run ended as UNKNOWN; in any other state the answer is ignored. */
    void recordLateAnswer(String ticket, CallResult result) {
        synchronized (records) {
            KeyedRun record = records.get(ticket);
            boolean unknown = record != null
                    && record.started != null
                    && record.started.isDone()
                    && record.started.join().outcome() == Outcome.UNKNOWN;
            if (unknown && result.outcome() == Outcome.ANSWERED) {
                record.started = CompletableFuture.completedFuture(retainAnswer(result));
            }
        }
    }

    private void applyResult(KeyedRun record, RequestId attempt, CallResult result) {
        switch (result.outcome()) {
            case NOT_RUN -> {
                record.started = null;
                record.refused.add(attempt);
            }
            case ANSWERED -> record.started = CompletableFuture.completedFuture(retainAnswer(result));
            case UNKNOWN -> record.started = CompletableFuture.completedFuture(result);
        }
    }

    private CallResult retainAnswer(CallResult result) {
        long size = TicketEntry.sizeOf(result);
        if (bytes + size > settings.maxBytes()) {
            return CallResult.unknown(Reason.TICKETS_FULL, "it ran; its answer was too large to be kept");
        }
        bytes += size;
        return result;
    }

    private void expire() {
        Duration retention = settings.retention();
        long now = ticker.nanos();
        Iterator<KeyedRun> iterator = records.values().iterator();
        while (iterator.hasNext()) {
            KeyedRun record = iterator.next();
            boolean running = record.started != null && !record.started.isDone();
            if (!running && now - record.changedAt < retention.toNanos()) {
                return;
            }
            if (!running) {
                iterator.remove();
                bytes -= BASE_BYTES + sizeOfAnswer(record);
            }
        }
    }

    private static long sizeOfAnswer(KeyedRun record) {
        boolean answered =
                record.started != null && record.started.join().answer().isPresent();
        return answered ? TicketEntry.sizeOf(record.started.join()) : 0;
    }

    /** State of one keyed request. Guarded by the lock on the records. */
    private static final class KeyedRun {
        private final TicketScope scope;
        private final Set<RequestId> refused = new HashSet<>(1);
        /** Result of the run, pending while it runs; null if the request has not been started here. */
        private CompletableFuture<CallResult> started;

        private long changedAt;

        KeyedRun(TicketScope scope, long now) {
            this.scope = scope;
            this.changedAt = now;
        }
    }
}

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
 * What a target's node remembers of the keyed requests that reached it: which it started, their answers, and which
 * attempts it refused.
 *
 * <p>Bounded in records and bytes; a record is forgotten only after the retention, an answer that does not fit is not
 * kept. Thread safe with a short lock; futures complete outside it.
 */
public final class AnswerMemory {

    private static final long BASE_BYTES = TicketEntry.BASE_BYTES;
    /** Room for refusals beyond the bound of started requests. */
    private static final int REFUSAL_ROOM = 2;

    private final TicketSettings settings;
    private final Ticker ticker;
    /** By ticket; records that are not running stand in the order of their last change. */
    private final Map<String, KeyedRun> records = new LinkedHashMap<>();

    private long bytes;

    private AnswerMemory(TicketSettings settings, Ticker ticker) {
        this.settings = settings;
        this.ticker = ticker;
    }

    public static AnswerMemory create(TicketSettings settings, Ticker ticker) {
        return new AnswerMemory(settings, ticker);
    }

    /** Looks for the answer of a request; waits for it while the request runs. Empty when nothing is known here. */
    CompletableFuture<Optional<CallResult>> find(String ticket, TicketScope scope) {
        synchronized (records) {
            KeyedRun record = records.get(ticket);
            if (record == null || record.started == null) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            if (!record.scope.equals(scope)) {
                return CompletableFuture.completedFuture(Optional.of(otherScope()));
            }
            return record.started.thenApply(Optional::of);
        }
    }

    static CallResult otherScope() {
        return CallResult.unknown(Reason.KEY_IN_USE, "nothing was run and nothing replayed for this one");
    }

    /** Records held. */
    public int size() {
        synchronized (records) {
            return records.size();
        }
    }

    /**
     * Marks the request as started unless it must not start.
     *
     * @return empty when the caller must now run it and report by {@link #ended}; else what to tell instead
     */
    Optional<CompletableFuture<CallResult>> start(String ticket, TicketScope scope, RequestId attempt) {
        synchronized (records) {
            expire();
            KeyedRun record = records.get(ticket);
            if (record != null && !record.scope.equals(scope)) {
                return Optional.of(CompletableFuture.completedFuture(otherScope()));
            }
            if (record != null && record.started != null) {
                return Optional.of(record.started);
            }
            if (record != null && record.refused.contains(attempt)) {
                return Optional.of(CompletableFuture.completedFuture(refusedBefore()));
            }
            if (record == null && (records.size() >= settings.maxTickets() || bytes >= settings.maxBytes())) {
                return Optional.of(CompletableFuture.completedFuture(refuseFull(ticket, scope, attempt)));
            }
            KeyedRun started = record == null ? add(ticket, scope) : record;
            started.started = new CompletableFuture<>();
            return Optional.empty();
        }
    }

    private static CallResult refusedBefore() {
        return CallResult.notRun(Reason.TARGET_REFUSED, "this attempt was refused before; it is not started later");
    }

    /**
     * Refuses when the memory is full.
     *
     * <p>A copy of the message may come when there is room again. So the refusal must be remembered to be told as
     * NOT_RUN; when there is no room even for that, only UNKNOWN is true.
     */
    private CallResult refuseFull(String ticket, TicketScope scope, RequestId attempt) {
        String detail = "the target's node remembers as many keyed requests as it may";
        if (records.size() >= REFUSAL_ROOM * settings.maxTickets()) {
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

    /** Takes the end of a request that this memory let start. */
    void ended(String ticket, RequestId attempt, CallResult result) {
        CompletableFuture<CallResult> waiting;
        synchronized (records) {
            KeyedRun record = records.remove(ticket);
            waiting = record.started;
            record.changedAt = ticker.nanos();
            records.put(ticket, record);
            keep(record, attempt, result);
        }
        waiting.complete(result);
    }

    /** Takes an answer that came after the run's end was unknown; anything else is dropped. */
    void late(String ticket, CallResult result) {
        synchronized (records) {
            KeyedRun record = records.get(ticket);
            boolean unknown = record != null
                    && record.started != null
                    && record.started.isDone()
                    && record.started.join().outcome() == Outcome.UNKNOWN;
            if (unknown && result.outcome() == Outcome.ANSWERED) {
                record.started = CompletableFuture.completedFuture(keptAnswer(result));
            }
        }
    }

    private void keep(KeyedRun record, RequestId attempt, CallResult result) {
        switch (result.outcome()) {
            case NOT_RUN -> {
                record.started = null;
                record.refused.add(attempt);
            }
            case ANSWERED -> record.started = CompletableFuture.completedFuture(keptAnswer(result));
            case UNKNOWN -> record.started = CompletableFuture.completedFuture(result);
        }
    }

    private CallResult keptAnswer(CallResult result) {
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

    /** One keyed request. Guarded by the lock of the memory. */
    private static final class KeyedRun {
        private final TicketScope scope;
        private final Set<RequestId> refused = new HashSet<>(1);
        /** Its end, done or awaited; null while it was not started here. */
        private CompletableFuture<CallResult> started;

        private long changedAt;

        KeyedRun(TicketScope scope, long now) {
            this.scope = scope;
            this.changedAt = now;
        }
    }
}

package io.beryldock.idempotency;

import com.google.common.collect.ImmutableMap;
import io.beryldock.call.CallCodec;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.wire.WireTicketEntry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All that a frozen table held, on its way to the successor. Used on the control thread only.
 *
 * <p>Entries stand in the order of their last change, the oldest first. None is in flight.
 */
record TicketTransfer(TicketHome origin, long lastCounter, ImmutableMap<Long, TicketEntry> entries) {

    /** The contents of a table that was just frozen. */
    static TicketTransfer of(TicketHome origin, long lastCounter, Map<Long, TicketEntry> entries) {
        ImmutableMap.Builder<Long, TicketEntry> builder = ImmutableMap.builder();
        entries.entrySet().stream()
                .sorted(Comparator.comparingLong(entry -> entry.getValue().changedAt()))
                .forEach(entry -> builder.put(entry.getKey(), settledOrUnknown(entry.getValue())));
        return new TicketTransfer(origin, lastCounter, builder.buildOrThrow());
    }

    /** The contents as they came, with nothing missing. */
    static TicketTransfer whole(TicketHome origin, long lastCounter, Map<Long, TicketEntry> entries) {
        return new TicketTransfer(origin, lastCounter, ImmutableMap.copyOf(entries));
    }

    private static TicketEntry settledOrUnknown(TicketEntry entry) {
        if (entry.state() != TicketState.IN_FLIGHT) {
            return entry;
        }
        CallResult told = CallResult.unknown(Reason.HOME_GONE, "it was in flight when its home stopped");
        return new TicketEntry(entry.nonce(), TicketState.UNKNOWN, entry.scope(), Optional.of(told), entry.changedAt());
    }

    long bytes() {
        return entries.values().stream().mapToLong(TicketEntry::bytes).sum();
    }

    /** The entries in parts of about that many bytes, at least one part. */
    List<Map<Long, TicketEntry>> parts(long partBytes) {
        List<Map<Long, TicketEntry>> parts = new ArrayList<>();
        Map<Long, TicketEntry> part = new LinkedHashMap<>();
        long bytes = 0;
        for (Map.Entry<Long, TicketEntry> entry : entries.entrySet()) {
            part.put(entry.getKey(), entry.getValue());
            bytes += entry.getValue().bytes();
            if (bytes >= partBytes) {
                parts.add(part);
                part = new LinkedHashMap<>();
                bytes = 0;
            }
        }
        if (!part.isEmpty() || parts.isEmpty()) {
            parts.add(part);
        }
        return parts;
    }

    /** One part as a message, with the ages that its entries have now. */
    static List<WireTicketEntry> write(Map<Long, TicketEntry> part, long now) {
        return part.entrySet().stream()
                .map(entry -> write(entry.getKey(), entry.getValue(), now))
                .toList();
    }

    private static WireTicketEntry write(long counter, TicketEntry entry, long now) {
        WireTicketEntry.Builder wire = WireTicketEntry.newBuilder()
                .setCounter(counter)
                .setNonce(entry.nonce())
                .setState(entry.state().number())
                .setAgeNanos(now - entry.changedAt());
        entry.scope()
                .ifPresent(scope -> wire.setIdentity(scope.identity().hash())
                        .setFingerprint(scope.fingerprint().hash()));
        entry.result().ifPresent(result -> wire.setResult(CallCodec.encode(result)));
        return wire.build();
    }
}

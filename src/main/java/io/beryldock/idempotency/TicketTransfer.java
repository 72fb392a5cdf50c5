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
 * Contents of a frozen table, for transfer to the successor. Used on the control thread only.
 *
 * <p>Entries are ordered by their last change, oldest first. None is in flight.
 */
record TicketTransfer(TicketHome origin, long lastCounter, ImmutableMap<Long, TicketEntry> entries) {

    /** Captures the contents of a frozen table; entries in flight become UNKNOWN. */
    static TicketTransfer of(TicketHome origin, long lastCounter, Map<Long, TicketEntry> entries) {
        ImmutableMap.Builder<Long, TicketEntry> builder = ImmutableMap.builder();
        entries.entrySet().stream()
                .sorted(Comparator.comparingLong(entry -> entry.getValue().changedAt()))
                .forEach(entry -> builder.put(entry.getKey(), inFlightToUnknown(entry.getValue())));
        return new TicketTransfer(origin, lastCounter, builder.buildOrThrow());
    }

    /** Restores contents of which all parts have been received. */
    static TicketTransfer ofParts(TicketHome origin, long lastCounter, Map<Long, TicketEntry> entries) {
        return new TicketTransfer(origin, lastCounter, ImmutableMap.copyOf(entries));
    }

    private static TicketEntry inFlightToUnknown(TicketEntry entry) {
        if (entry.state() != TicketState.IN_FLIGHT) {
            return entry;
        }
        CallResult unknown = CallResult.unknown(Reason.HOME_GONE, "it was in flight when its home stopped");
        return new TicketEntry(
                entry.nonce(), TicketState.UNKNOWN, entry.scope(), Optional.of(unknown), entry.changedAt());
    }

    long bytes() {
        return entries.values().stream().mapToLong(TicketEntry::bytes).sum();
    }

    /** Splits the entries into parts of about {@code partBytes} bytes each; there is at least one part. */
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

    /** Encodes one part, with the ages of its entries at {@code now}. */
    static List<WireTicketEntry> encode(Map<Long, TicketEntry> part, long now) {
        return part.entrySet().stream()
                .map(entry -> encode(entry.getKey(), entry.getValue(), now))
                .toList();
    }

    private static WireTicketEntry encode(long counter, TicketEntry entry, long now) {
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

package io.beryldock.idempotency;

import com.google.common.collect.ImmutableMap;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * All that a frozen table held, on its way to the successor. Used on the control thread only.
 *
 * <p>Entries stand in the order of their last change, the oldest first. Nothing in it is in flight.
 */
record TicketTransfer(TicketHome origin, long lastCounter, ImmutableMap<Long, TicketEntry> entries) {

    static TicketTransfer of(TicketHome origin, long lastCounter, Map<Long, TicketEntry> entries) {
        ImmutableMap.Builder<Long, TicketEntry> builder = ImmutableMap.builder();
        entries.entrySet().stream()
                .sorted(Comparator.comparingLong(entry -> entry.getValue().changedAt()))
                .forEach(entry -> builder.put(entry.getKey(), settledOrUnknown(entry.getValue())));
        return new TicketTransfer(origin, lastCounter, builder.buildOrThrow());
    }

    private static TicketEntry settledOrUnknown(TicketEntry entry) {
        if (entry.state() != TicketState.IN_FLIGHT) {
            return entry;
        }
        CallResult told = CallResult.unknown(Reason.HOME_GONE, "it was in flight when its home stopped");
        return new TicketEntry(entry.nonce(), TicketState.UNKNOWN, entry.scope(), Optional.of(told), entry.changedAt());
    }
}

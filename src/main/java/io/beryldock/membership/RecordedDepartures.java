package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.wire.MembershipDeparture;
import io.beryldock.wire.MembershipDepartures;
import io.beryldock.wire.MembershipRecord;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * The departures that this node records in the store, and the futures of those that the store does not hold yet.
 *
 * <p>Confined to the control thread. Invariant: at most {@link #MAX_STARTS} departures are held, the latest ones.
 */
final class RecordedDepartures {

    /** Bounds the size of the entry; an announcement that is late by this many starts is not expected. */
    static final int MAX_STARTS = 32;

    private final Deque<DepartedStart> starts = new ArrayDeque<>();
    private final Map<DepartedStart, CompletableFuture<Void>> unstored = new HashMap<>();

    ImmutableList<DepartedStart> starts() {
        return ImmutableList.copyOf(starts);
    }

    /** Adds a departure and returns whether it was unknown. */
    boolean add(DepartedStart start) {
        if (starts.contains(start)) {
            return false;
        }
        starts.addLast(start);
        unstored.put(start, new CompletableFuture<>());
        if (starts.size() > MAX_STARTS) {
            dropOldest();
        }
        return true;
    }

    private void dropOldest() {
        CompletableFuture<Void> waiting = unstored.remove(starts.removeFirst());
        if (waiting != null) {
            waiting.completeExceptionally(new IllegalStateException(
                    "the store did not take the departure before " + MAX_STARTS + " later ones"));
        }
    }

    /** Adds the departures that the store holds already, before all others. */
    void addEarlier(ImmutableList<DepartedStart> stored) {
        for (DepartedStart start : stored.reverse()) {
            if (!starts.contains(start) && starts.size() < MAX_STARTS) {
                starts.addFirst(start);
            }
        }
    }

    /** Completes once the store holds the departure. */
    CompletableFuture<Void> stored(DepartedStart start) {
        return unstored.getOrDefault(start, CompletableFuture.completedFuture(null));
    }

    void onStored(Collection<DepartedStart> written) {
        written.forEach(start -> {
            CompletableFuture<Void> waiting = unstored.remove(start);
            if (waiting != null) {
                waiting.complete(null);
            }
        });
    }

    /** The value of the entry of departures. */
    ByteString encode() {
        MembershipDepartures.Builder encoded = MembershipDepartures.newBuilder();
        starts.forEach(start -> encoded.addDepartures(
                MembershipDeparture.newBuilder().setId(start.id()).setStartedAtMillis(start.startedAtMillis())));
        return encoded.build().toByteString();
    }

    /** Reads the value of an entry of departures. */
    static ImmutableList<DepartedStart> decode(ByteString value) throws InvalidProtocolBufferException {
        return decode(MembershipDepartures.parseFrom(value).getDeparturesList());
    }

    /** Reads the departures in the value of a node's record, where earlier versions kept them. */
    static ImmutableList<DepartedStart> decodeRecord(ByteString value) throws InvalidProtocolBufferException {
        return decode(MembershipRecord.parseFrom(value).getDeparturesList());
    }

    private static ImmutableList<DepartedStart> decode(List<MembershipDeparture> departures) {
        return departures.stream()
                .map(departure -> new DepartedStart(departure.getId(), departure.getStartedAtMillis()))
                .collect(ImmutableList.toImmutableList());
    }
}

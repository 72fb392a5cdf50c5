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
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The departures that this node records in the store, and the futures of those that the store does not hold yet.
 *
 * <p>Confined to the control thread. Invariants: at most {@link #MAX_STARTS} departures are held, the latest ones, and
 * one for each id, as the departure of a start covers earlier starts under its id.
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
        Optional<DepartedStart> known = findById(start.id());
        if (known.filter(held -> held.covers(start)).isPresent()) {
            return false;
        }
        CompletableFuture<Void> waiting = known.map(unstored::remove).orElseGet(CompletableFuture::new);
        known.ifPresent(starts::remove);
        starts.addLast(start);
        unstored.put(start, waiting);
        if (starts.size() > MAX_STARTS) {
            dropOldest();
        }
        return true;
    }

    private Optional<DepartedStart> findById(String id) {
        return starts.stream().filter(start -> start.id().equals(id)).findAny();
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
            Optional<DepartedStart> known = findById(start.id());
            if (known.isPresent()) {
                replaceUnlessCovered(known.get(), start);
            } else if (starts.size() < MAX_STARTS) {
                starts.addFirst(start);
            }
        }
    }

    private void replaceUnlessCovered(DepartedStart known, DepartedStart start) {
        if (known.covers(start)) {
            return;
        }
        starts.remove(known);
        starts.addFirst(start);
        CompletableFuture<Void> waiting = unstored.remove(known);
        if (waiting != null) {
            unstored.put(start, waiting);
        }
    }

    /** Completes once the store holds the departure, or that of a later start under the same id. */
    CompletableFuture<Void> stored(DepartedStart start) {
        return findById(start.id()).map(unstored::get).orElseGet(() -> CompletableFuture.completedFuture(null));
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

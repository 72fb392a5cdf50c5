package io.beryldock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.wire.MembershipDeparture;
import io.beryldock.wire.MembershipRecord;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RecordedDeparturesTest {

    private final RecordedDepartures departures = new RecordedDepartures();

    private static DepartedStart start(int number) {
        return new DepartedStart("i-" + number, number);
    }

    private static ImmutableList<DepartedStart> starts(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(RecordedDeparturesTest::start)
                .collect(ImmutableList.toImmutableList());
    }

    @Test
    void departureIsStoredOnceAWriteThatContainsItIsDone() {
        departures.add(start(1));
        ImmutableList<DepartedStart> written = departures.starts();
        departures.add(start(2));
        departures.onStored(written);
        assertThat(departures.stored(start(1))).isCompleted();
        assertThat(departures.stored(start(2))).isNotDone();
    }

    /** Guards against the confirmation of a departure that no write will contain any more. */
    @Test
    void departureThatIsDroppedBeforeItIsStoredFails() {
        departures.add(start(0));
        CompletableFuture<Void> oldest = departures.stored(start(0));
        IntStream.rangeClosed(1, RecordedDepartures.MAX_STARTS).forEach(number -> departures.add(start(number)));
        assertThat(departures.starts()).hasSize(RecordedDepartures.MAX_STARTS).doesNotContain(start(0));
        assertThat(oldest).isCompletedExceptionally();
    }

    @Test
    void earlierDeparturesComeFirstAndTheLatestAreKept() {
        int most = RecordedDepartures.MAX_STARTS;
        departures.add(start(most));
        ImmutableList<DepartedStart> earlier = starts(0, most - 1);
        departures.addEarlier(ImmutableList.<DepartedStart>builder()
                .addAll(earlier.subList(0, 2))
                .add(start(most))
                .addAll(earlier.subList(2, most))
                .build());
        assertThat(departures.starts()).isEqualTo(starts(1, most));
        assertThat(departures.stored(start(1))).isCompleted();
    }

    /** Guards against departures of other starts that the repeated notices of one target displace. */
    @Test
    void departureOfALaterStartReplacesThoseUnderItsId() {
        departures.add(new DepartedStart("a", 1));
        departures.add(new DepartedStart("b", 1));
        departures.add(new DepartedStart("a", 2));
        departures.add(new DepartedStart("a", 1));
        assertThat(departures.starts()).containsExactly(new DepartedStart("b", 1), new DepartedStart("a", 2));
    }

    /** Guards against a notice without a confirmation, because a repeated notice replaced its departure. */
    @Test
    void replacedDepartureIsStoredWithTheOneThatReplacesIt() {
        departures.add(new DepartedStart("a", 1));
        CompletableFuture<Void> first = departures.stored(new DepartedStart("a", 1));
        departures.add(new DepartedStart("a", 2));
        CompletableFuture<Void> repeated = departures.stored(new DepartedStart("a", 1));
        assertThat(first).isNotDone();
        assertThat(repeated).isNotDone();
        departures.onStored(departures.starts());
        assertThat(first).isCompleted();
        assertThat(repeated).isCompleted();
    }

    /** Guards against a later start under the same id that the departure of an earlier process displaces. */
    @Test
    void earlierDepartureUnderTheSameIdIsNotAdded() {
        departures.add(new DepartedStart("a", 2));
        departures.addEarlier(ImmutableList.of(new DepartedStart("a", 1)));
        assertThat(departures.starts()).containsExactly(new DepartedStart("a", 2));
    }

    @Test
    void encodedDeparturesAreDecoded() throws InvalidProtocolBufferException {
        departures.add(start(1));
        departures.add(new DepartedStart("unknown", 0));
        assertThat(RecordedDepartures.decode(departures.encode())).isEqualTo(departures.starts());
    }

    /** Guards against departures that are forgotten when a node is upgraded beside a leaving target. */
    @Test
    void departuresInRecordOfEarlierVersionAreRead() throws InvalidProtocolBufferException {
        MembershipRecord record = MembershipRecord.newBuilder()
                .addDepartures(MembershipDeparture.newBuilder().setId("i-1").setStartedAtMillis(1))
                .build();
        assertThat(RecordedDepartures.decodeRecord(record.toByteString())).containsExactly(start(1));
    }
}

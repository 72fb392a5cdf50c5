package io.beryldock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.wire.MembershipRecord;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RecordedDeparturesTest {

    private final RecordedDepartures departures = new RecordedDepartures();

    private static DepartedStart start(int number) {
        return new DepartedStart("i-" + number, number);
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
        departures.add(start(9));
        departures.addEarlier(ImmutableList.of(start(1), start(2), start(9), start(3), start(4)));
        assertThat(departures.starts()).containsExactly(start(2), start(3), start(4), start(9));
        assertThat(departures.stored(start(3))).isCompleted();
    }

    @Test
    void recordContainsTheDepartures() {
        departures.add(start(1));
        departures.add(new DepartedStart("unknown", 0));
        MembershipRecord record = departures.addTo(MembershipRecord.getDefaultInstance());
        assertThat(RecordedDepartures.read(record)).isEqualTo(departures.starts());
    }
}

package io.beryldock.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.StoreSharing.Verification;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Nodes of three data centres know for how long nothing newer has been in the store. */
final class VerificationTest {

    private static final String KEY = "document";
    private static final int CENTRES = 3;
    private static final int NODES_OF_A_CENTRE = 5;

    /** What operators allow between taking a key away and the last request that it opens. */
    private static final Duration BOUND = Duration.ofSeconds(5);

    private static final Duration STEP = Duration.ofMillis(50);

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final SharingFleet fleet = new SharingFleet(registry, timers);
    private final List<Reader> readers = new ArrayList<>();

    /** One node: the newest number that it has read, and whether it would go by it now. */
    private static final class Reader implements EntryListener {
        private final String id;
        private Verification verification;
        private int number;
        private boolean suspended;

        Reader(String id) {
            this.id = id;
        }

        @Override
        public boolean onEntry(Entry entry) {
            entry.value().ifPresent(value -> number = Integer.parseInt(value.toStringUtf8()));
            return true;
        }

        boolean isCertain() {
            return verification.ageNanos().filter(age -> age < BOUND.toNanos()).isPresent();
        }
    }

    /** A number that was written and when the store had it. */
    private record Written(int number, long at) {}

    private void start() {
        write(1);
        for (int centre = 0; centre < CENTRES; centre++) {
            for (int node = 0; node < NODES_OF_A_CENTRE; node++) {
                Reader reader = new Reader("c" + centre + "-n" + node);
                StoreSharing sharing = fleet.add(reader.id, "c" + centre);
                reader.verification = sharing.followVerified(KEY, Duration.ofMillis(20), reader);
                readers.add(reader);
            }
        }
        timers.advance(Duration.ofSeconds(3));
    }

    private void write(int number) {
        registry.write(KEY, ByteString.copyFromUtf8(Integer.toString(number)));
    }

    private long now() {
        return timers.ticker().nanos();
    }

    private int uncertain() {
        return (int) readers.stream().filter(reader -> !reader.isCertain()).count();
    }

    @Test
    void inCalmEveryNodeIsCertainAllTheTime() {
        start();
        for (int i = 0; i < 600; i++) {
            timers.advance(STEP);
            assertThat(uncertain()).isZero();
        }
    }

    /** A reading a second of the watcher of each data centre, and what watches end with; not one of each node. */
    @Test
    void certaintyCostsTheStoreACallASecondAndDataCentre() {
        start();
        int before = fleet.calls();
        timers.advance(Duration.ofSeconds(20));
        assertThat(fleet.calls() - before).isLessThanOrEqualTo(CENTRES * (20 + 3));
    }

    /**
     * Story: the node that watches for a data centre dies, and some seconds later callers of all its nodes are refused,
     * although the store and all others are well: nobody told them any more that their keys hold.
     */
    @Test
    void lossOfAnyNodeMakesNoOtherUncertain() {
        start();
        for (Reader lost : List.copyOf(readers)) {
            fleet.stop(lost.id);
            for (int i = 0; i < 160; i++) {
                timers.advance(STEP);
                assertThat(readers.stream().filter(reader -> reader != lost).allMatch(Reader::isCertain))
                        .as("%s was lost", lost.id)
                        .isTrue();
            }
            fleet.restart(lost.id);
            timers.advance(Duration.ofSeconds(12));
        }
    }

    /**
     * Story: a key is taken away, and a request with it still runs half a minute later at a VM that was cut off.
     * It believed in its last document, as nothing told it that there may be a newer one.
     */
    @Test
    void nodeThatHearsNothingIsUncertainWithinTheBound() {
        start();
        Reader cut = readers.get(0);
        fleet.stop(cut.id);
        fleet.view(cut.id).setSilent(true);
        timers.advance(BOUND);
        assertThat(cut.isCertain()).isFalse();
        fleet.restart(cut.id);
        fleet.view(cut.id).setSilent(false);
        timers.advance(Duration.ofSeconds(2));
        assertThat(cut.isCertain()).isTrue();
    }

    /** The same after a suspension, in which the steady clock stands still. */
    @Test
    void nodeThatWasSuspendedIsUncertainAtOnce() {
        start();
        Reader paused = readers.get(1);
        fleet.suspend(paused.id, true);
        timers.advance(Duration.ofSeconds(6));
        assertThat(paused.isCertain()).isFalse();
    }

    /**
     * Story: as above, with the answer of the store or of the watcher under way for seconds when the key is taken away.
     * Counted from its arrival such an answer would look fresh; it is counted from its question.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void noCertainNodeIsBehindByMoreThanTheBound(long seed) {
        Random random = new Random(seed);
        start();
        for (Reader reader : readers) {
            fleet.view(reader.id).setDelay(() -> delay(random));
        }
        Deque<Written> written = new ArrayDeque<>();
        int number = 1;
        int overdue = 1;
        int certain = 0;
        for (int i = 0; i < 1200; i++) {
            if (random.nextInt(30) == 0) {
                number++;
                write(number);
                written.add(new Written(number, now()));
            }
            disturb(random);
            timers.advance(STEP);
            while (!written.isEmpty() && now() - written.peek().at() > BOUND.toNanos()) {
                overdue = written.poll().number();
            }
            for (Reader reader : readers) {
                if (!reader.suspended && reader.isCertain()) {
                    certain++;
                    assertThat(reader.number).as("%s at step %d", reader.id, i).isGreaterThanOrEqualTo(overdue);
                }
            }
        }
        assertThat(certain).as("the disturbances leave some nodes certain").isGreaterThan(1000);
    }

    private static Duration delay(Random random) {
        return Duration.ofMillis(random.nextInt(10) == 0 ? random.nextInt(4000) : 1 + random.nextInt(5));
    }

    private void disturb(Random random) {
        Reader reader = readers.get(random.nextInt(readers.size()));
        switch (random.nextInt(24)) {
            case 0 -> fleet.stop(reader.id);
            case 1, 2 -> fleet.restart(reader.id);
            case 3 -> fleet.view(reader.id).setDown(true);
            case 4 -> fleet.view(reader.id).setSilent(true);
            case 5, 6 -> {
                fleet.view(reader.id).setDown(false);
                fleet.view(reader.id).setSilent(false);
            }
            case 7 -> suspend(reader, true);
            case 8, 9 -> suspend(reader, false);
            default -> {}
        }
    }

    private void suspend(Reader reader, boolean value) {
        reader.suspended = value;
        fleet.suspend(reader.id, value);
    }
}

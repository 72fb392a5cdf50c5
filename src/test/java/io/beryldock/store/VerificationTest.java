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

/** Tests the verification of entries by nodes of three data centres. */
final class VerificationTest {

    private static final String KEY = "document";
    private static final int CENTRES = 3;
    private static final int NODES_PER_CENTRE = 5;

    /** The longest time that operators allow from revoking a key to the last request that it admits. */
    private static final Duration BOUND = Duration.ofSeconds(5);

    /** A value that no reader can decode. */
    private static final ByteString RUBBISH = ByteString.copyFromUtf8("rubbish");

    private static final Duration STEP = Duration.ofMillis(50);

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final SharingFleet fleet = new SharingFleet(registry, timers);
    private final List<Reader> readers = new ArrayList<>();

    /** One node: the latest number that it has read, and whether the number is verified. */
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
            if (entry.value().filter(RUBBISH::equals).isPresent()) {
                return false;
            }
            entry.value().ifPresent(value -> number = Integer.parseInt(value.toStringUtf8()));
            return true;
        }

        boolean isVerified() {
            return verification.ageNanos().filter(age -> age < BOUND.toNanos()).isPresent();
        }
    }

    /** A written number and the time of the write. */
    private record Written(int number, long at) {}

    private void start() {
        write(1);
        for (int centre = 0; centre < CENTRES; centre++) {
            for (int node = 0; node < NODES_PER_CENTRE; node++) {
                Reader reader = new Reader("c" + centre + "-n" + node);
                StoreSharing sharing = fleet.add(reader.id, "c" + centre);
                reader.verification = sharing.follow(KEY, Duration.ofMillis(20), Duration.ofSeconds(1), reader);
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

    private int countUnverified() {
        return (int) readers.stream().filter(reader -> !reader.isVerified()).count();
    }

    @Test
    void withoutFaultsEveryNodeStaysVerified() {
        start();
        for (int i = 0; i < 600; i++) {
            timers.advance(STEP);
            assertThat(countUnverified()).isZero();
        }
    }

    /** In a quiet store only watchers ask: one read of the revision per period and data centre, and their watches. */
    @Test
    void checksOfAQuietStoreCostOneReadPerPeriodAndDataCentre() {
        start();
        int before = fleet.calls();
        int readsBefore = fleet.revisionReads();
        timers.advance(Duration.ofSeconds(20));
        assertThat(fleet.revisionReads() - readsBefore).isLessThanOrEqualTo(CENTRES * 51);
        assertThat(fleet.calls() - before).isLessThanOrEqualTo(CENTRES * 3);
    }

    /** Each change makes the watcher of a data centre list the entries once, besides ending its watch. */
    @Test
    void changeCostsOneListingAndOneWatchPerDataCentre() {
        start();
        int before = fleet.calls();
        for (int i = 0; i < 20; i++) {
            write(2 + i);
            timers.advance(Duration.ofSeconds(1));
        }
        assertThat(fleet.calls() - before).isLessThanOrEqualTo(CENTRES * (2 * 20 + 3));
    }

    /**
     * Guards against refused callers after the loss of one node: without the watcher of a data centre its other nodes
     * would no longer verify their keys, although the store and these nodes work.
     */
    @Test
    void lossOfOneNodeLeavesAllOthersVerified() {
        start();
        for (Reader lost : List.copyOf(readers)) {
            fleet.stop(lost.id);
            for (int i = 0; i < 160; i++) {
                timers.advance(STEP);
                assertThat(readers.stream().filter(reader -> reader != lost).allMatch(Reader::isVerified))
                        .as("%s was lost", lost.id)
                        .isTrue();
            }
            fleet.restart(lost.id);
            timers.advance(Duration.ofSeconds(12));
        }
    }

    /**
     * Guards against a revoked key that a partitioned VM still accepts half a minute later: the node must not rely on
     * its last document when it can't verify that there is no newer one.
     */
    @Test
    void isolatedNodeIsUnverifiedWithinTheBound() {
        start();
        Reader isolated = readers.get(0);
        fleet.stop(isolated.id);
        fleet.view(isolated.id).setSilent(true);
        timers.advance(BOUND);
        assertThat(isolated.isVerified()).isFalse();
        fleet.restart(isolated.id);
        fleet.view(isolated.id).setSilent(false);
        timers.advance(Duration.ofSeconds(2));
        assertThat(isolated.isVerified()).isTrue();
    }

    /**
     * Guards against a node that takes its document for the newest although nobody could decode a newer one, which it
     * never saw itself.
     */
    @Test
    void noNodeIsVerifiedWhileNoneCanDecodeTheNewestEntry() {
        start();
        registry.write(KEY, RUBBISH);
        timers.advance(BOUND.plusSeconds(1));
        assertThat(countUnverified()).isEqualTo(readers.size());
        readers.forEach(reader -> fleet.stop(reader.id));
        for (int i = 0; i < 120; i++) {
            timers.advance(STEP);
            assertThat(countUnverified()).isEqualTo(readers.size());
        }
        write(2);
        timers.advance(Duration.ofSeconds(2));
        assertThat(countUnverified()).isZero();
    }

    /** Guards against the same fault after a suspension, during which the monotonic clock stops. */
    @Test
    void suspendedNodeIsUnverified() {
        start();
        Reader paused = readers.get(1);
        fleet.suspend(paused.id, true);
        timers.advance(Duration.ofSeconds(6));
        assertThat(paused.isVerified()).isFalse();
    }

    /**
     * Guards against a revoked key that is still accepted because an answer of the store or of the watcher was delayed
     * for seconds while the key was revoked. The age of an answer is counted from its question, not from its arrival.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void verifiedNodeNeverLagsByMoreThanTheBound(long seed) {
        Random random = new Random(seed);
        start();
        for (Reader reader : readers) {
            fleet.view(reader.id).setDelay(() -> delay(random));
        }
        Deque<Written> written = new ArrayDeque<>();
        int number = 1;
        int minNumber = 1;
        int verifiedChecks = 0;
        for (int i = 0; i < 1200; i++) {
            if (random.nextInt(30) == 0) {
                number++;
                write(number);
                written.add(new Written(number, now()));
            }
            injectFault(random);
            timers.advance(STEP);
            while (!written.isEmpty() && now() - written.peek().at() > BOUND.toNanos()) {
                minNumber = written.poll().number();
            }
            for (Reader reader : readers) {
                if (!reader.suspended && reader.isVerified()) {
                    verifiedChecks++;
                    assertThat(reader.number).as("%s at step %d", reader.id, i).isGreaterThanOrEqualTo(minNumber);
                }
            }
        }
        assertThat(verifiedChecks).as("number of checks of verified nodes").isGreaterThan(1000);
    }

    private static Duration delay(Random random) {
        return Duration.ofMillis(random.nextInt(10) == 0 ? random.nextInt(4000) : 1 + random.nextInt(5));
    }

    private void injectFault(Random random) {
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

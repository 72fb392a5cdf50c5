package io.beryldock.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.configuration.DocumentFleet.Disturbance;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A version of the operators' document is in force two seconds after its confirmation at every node in touch, whatever
 * happens to the other nodes.
 */
final class DocumentInForceTest {

    private static final int CENTRES = 3;
    private static final int NODES_PER_CENTRE = 4;

    /** Offset of a disturbance within the periods of the nodes' tasks. */
    private static final Duration PHASE = Duration.ofMillis(250);

    private static final int PHASES = 8;

    private final DocumentFleet fleet = DocumentFleet.start(CENTRES, NODES_PER_CENTRE);

    /** Guards against nodes that hear of no change while the nodes that watch the store for them are in trouble. */
    @ParameterizedTest
    @EnumSource(
            value = Disturbance.class,
            names = {"SUSPENDED", "CUT", "STORE_SILENT", "STORE_REFUSES"})
    void changeIsInForceWhileWatchersAreInTrouble(Disturbance disturbance) {
        for (int watchers = 1; watchers < NODES_PER_CENTRE; watchers++) {
            for (int phase = 0; phase < PHASES; phase++) {
                disturbWatchers(watchers, disturbance, true);
                fleet.write();
                fleet.advance(Duration.ofSeconds(8));
                disturbWatchers(watchers, disturbance, false);
                fleet.advance(Duration.ofSeconds(12).plus(PHASE.multipliedBy(phase)));
            }
        }
        assertThat(fleet.broken()).isEmpty();
    }

    private void disturbWatchers(int watchers, Disturbance disturbance, boolean value) {
        for (int centre = 0; centre < CENTRES; centre++) {
            fleet.watcherOrder("c" + centre).stream()
                    .limit(watchers)
                    .forEach(id -> fleet.disturb(id, disturbance, value));
        }
    }

    /** Guards against nodes that hear of no change while those that watch for them are killed one after the other. */
    @Test
    void changeIsInForceWhileWatchersAreKilledInSeries() {
        for (int phase = 0; phase < PHASES; phase++) {
            for (String id : fleet.watcherOrder("c0").subList(0, 3)) {
                fleet.restart(id, Duration.ofSeconds(2));
                fleet.write();
                fleet.advance(Duration.ofMillis(700).plus(PHASE.multipliedBy(phase)));
            }
            fleet.advance(Duration.ofSeconds(6));
        }
        assertThat(fleet.broken()).isEmpty();
    }

    /** Guards against nodes that rely on each other after a start of all, when none of them watches the store yet. */
    @ParameterizedTest
    @ValueSource(ints = {0, 500, 600, 900, 1200, 1600, 1900, 2400, 2900})
    void changeIsInForceAfterAllNodesHaveStarted(int millisBeforeChange) {
        fleet.ids().forEach(id -> fleet.restart(id, Duration.ofMillis(500)));
        fleet.advance(Duration.ofMillis(500 + millisBeforeChange));
        fleet.write();
        fleet.advance(Duration.ofSeconds(8));
        assertThat(fleet.broken()).isEmpty();
    }

    /** Guards against a watch that never ends while its node goes on answering as if it watched the store. */
    @Test
    void changeIsInForceAtOthersWhenTheTasksOfTheWatchersHaveStopped() {
        for (int centre = 0; centre < CENTRES; centre++) {
            fleet.stopTasks(fleet.watcherOrder("c" + centre).get(0));
        }
        fleet.advance(Duration.ofSeconds(1));
        fleet.write();
        fleet.advance(Duration.ofSeconds(10));
        assertThat(fleet.broken()).isEmpty();
    }

    /** Guards against a watch that waits on a connection that delivers nothing, while short calls are answered. */
    @Test
    void changeIsInForceWhenWatchesNeverEnd() {
        fleet.ids().forEach(fleet::loseWatches);
        for (int phase = 0; phase < PHASES; phase++) {
            fleet.write();
            fleet.advance(Duration.ofSeconds(12).plus(PHASE.multipliedBy(phase)));
        }
        assertThat(fleet.broken()).isEmpty();
    }

    /** Guards against a change that the store withheld from watches, and for which no node asks afterwards. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void changeIsInForceThatTheStoreWithheldFromWatches(boolean historyIsDiscarded) {
        for (int phase = 0; phase < 44; phase++) {
            fleet.advance(PHASE.multipliedBy(phase));
            if (historyIsDiscarded) {
                fleet.withholdChangeAndDiscardHistory(Duration.ofSeconds(1));
            } else {
                fleet.withholdChange(Duration.ofSeconds(1));
            }
            fleet.advance(Duration.ofSeconds(8));
        }
        assertThat(fleet.broken()).isEmpty();
    }

    /** After overlapping disturbances of nodes and store, a version is in force in time at every node in touch. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void changesAreInForceAmongOverlappingDisturbances(long seed) {
        Random random = new Random(seed);
        List<String> ids = fleet.ids();
        List<Disturbance> disturbances =
                List.of(Disturbance.SUSPENDED, Disturbance.CUT, Disturbance.STORE_SILENT, Disturbance.STORE_REFUSES);
        for (int step = 0; step < 400; step++) {
            if (random.nextInt(3) == 0) {
                fleet.write();
            }
            String id = ids.get(random.nextInt(ids.size()));
            Disturbance disturbance = disturbances.get(random.nextInt(disturbances.size()));
            switch (random.nextInt(12)) {
                case 0, 1 -> fleet.restart(id, Duration.ofMillis(random.nextInt(3000)));
                case 2, 3, 4 -> fleet.disturb(id, disturbance, true);
                case 5, 6, 7, 8 -> fleet.disturb(id, disturbance, false);
                case 9 -> withhold(random);
                default -> {}
            }
            fleet.advance(Duration.ofMillis(100 + random.nextInt(900)));
        }
        assertThat(fleet.broken()).isEmpty();
    }

    private void withhold(Random random) {
        if (random.nextInt(6) == 0) {
            fleet.withholdChangeAndDiscardHistory(Duration.ofSeconds(1));
        }
    }
}

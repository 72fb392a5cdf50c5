package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.ChainSimulation.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the algorithms must reach together in the queueing model; each run replays from its seed. */
class ChainSimulationTest {

    // In the first week of term three times what holdings can do is asked of lists, above it. Pages fail after half
    // their work is done, and readers wait for them: the surplus has to be refused at the entry, browsing first.
    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void threefoldDemandKeepsGoodputAndTheImportant(long seed) {
        Result result =
                ChainMeasurement.chain(seed, true, ChainMeasurement.CHAIN, 9).run();
        assertThat(result.goodputShare()).isGreaterThan(0.95);
        assertThat(result.answeredRank0()).isGreaterThan(0.999);
        assertThat(result.answeredRank3()).isGreaterThan(0.95);
        assertThat(result.wastedShare()).isLessThan(0.03);
        assertThat(result.broken()).isZero();
    }

    // A deep service is five times slower for three seconds. When it is well again, nothing that was learned or queued
    // meanwhile may keep pages away.
    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void goodputIsBackSoonAfterASlowSpell(long seed) {
        Result result = ChainMeasurement.slowSpell(seed, true, 1.3).run(4, 7);
        assertThat(result.recoverySeconds()).isLessThan(0.5);
        assertThat(result.wastedShare()).isLessThan(0.03);
    }

    @Test
    void shedAtTheEntryNotBelow() {
        Result with = ChainMeasurement.chain(13, true, ChainMeasurement.WIDE, 9).run();
        Result without =
                ChainMeasurement.chain(13, false, ChainMeasurement.WIDE, 9).run();
        assertThat(with.wastedShare()).isLessThan(without.wastedShare() / 10);
    }

    @Test
    void usualLoadIsNotShed() {
        Result result = ChainMeasurement.simulate(14, true, ChainMeasurement.CHAIN, 9, 0.7, t -> 1, 10)
                .run();
        assertThat(result.shedAtDoor()).isLessThan(0.002);
        assertThat(result.answeredRank6()).isGreaterThan(0.995);
    }
}

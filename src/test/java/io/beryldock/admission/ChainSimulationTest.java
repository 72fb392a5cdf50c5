package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.ChainSimulation.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requirements on all admission algorithms combined, in the queueing model; each run is reproducible from its seed. */
class ChainSimulationTest {

    // Callers of lists request three times what the service below it, holdings, can process. Without shedding at the
    // entry, requests fail after half their work is done; the excess has to be refused at the entry, browsing first.
    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void threefoldDemandKeepsGoodputAndImportantRequests(long seed) {
        Result result =
                ChainMeasurement.chain(seed, true, ChainMeasurement.CHAIN, 9).run();
        assertThat(result.goodputShare()).isGreaterThan(0.95);
        assertThat(result.answeredRank0()).isGreaterThan(0.999);
        assertThat(result.answeredRank3()).isGreaterThan(0.95);
        assertThat(result.wastedShare()).isLessThan(0.03);
        assertThat(result.violations()).isZero();
    }

    // The last service of a chain is five times slower for three seconds. Once it has recovered, no learned level and
    // no queue may keep refusing requests.
    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void goodputRecoversSoonAfterASlowPeriod(long seed) {
        Result result = ChainMeasurement.slowPeriod(seed, true, 1.3).run(4, 7);
        assertThat(result.recoverySeconds()).isLessThan(0.5);
        assertThat(result.wastedShare()).isLessThan(0.03);
    }

    @Test
    void requestsAreShedAtTheEntryAndNotBelow() {
        Result with =
                ChainMeasurement.chain(13, true, ChainMeasurement.WIDE_ROOT, 9).run();
        Result without =
                ChainMeasurement.chain(13, false, ChainMeasurement.WIDE_ROOT, 9).run();
        assertThat(with.wastedShare()).isLessThan(without.wastedShare() / 10);
    }

    @Test
    void usualLoadIsNotShed() {
        Result result = ChainMeasurement.simulate(14, true, ChainMeasurement.CHAIN, 9, 0.7, t -> 1, 10)
                .run();
        assertThat(result.shedAtEntry()).isLessThan(0.002);
        assertThat(result.answeredRank6()).isGreaterThan(0.995);
    }
}

package io.beryldock.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.common.collect.ImmutableList;
import io.beryldock.measure.Scenario.Fault;
import io.beryldock.measure.Scenario.FaultKind;
import io.beryldock.measure.Scenario.Span;
import io.beryldock.standin.StandinTargetSettings.InnerCall;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

final class CapacityBoundTest {

    private static final Offset<Double> EXACT = within(1e-6);
    private static final InnerCall TO_HOLDINGS = new InnerCall("/", null, "GET", "/holdings/copies");

    /** Pages and orders each need 100 ms of holdings; holdings has that many slots. */
    private static Topology topology(int holdingsSlots) {
        return Samples.topology(
                new Topology.Service("lists", 1, 100, 50, null, ImmutableList.of(TO_HOLDINGS)),
                new Topology.Service("orders", 1, 100, 50, null, ImmutableList.of(TO_HOLDINGS)),
                Samples.service("holdings", holdingsSlots, 100));
    }

    @Test
    void isTheDemandWhileTheSlotsHoldIt() throws Exception {
        assertThat(CapacityBound.of(topology(11), Samples.scenario()).mean()).isEqualTo(100, EXACT);
    }

    @Test
    void ordersGoBeforePagesWhereTheSlotsAreTooFew() throws Exception {
        // 5 slots carry 50 a second: 20 orders, then 30 of 80 pages.
        assertThat(CapacityBound.of(topology(5), Samples.scenario()).at(0.5)).isEqualTo(50, EXACT);
        // 1 slot carries 10 of 20 orders, and no page.
        assertThat(CapacityBound.of(topology(1), Samples.scenario()).at(0.5)).isEqualTo(10, EXACT);
    }

    @Test
    void waitingForAnInnerCallHoldsTheOuterSlot() throws Exception {
        CapacityBound bound = CapacityBound.of(topology(5), Samples.scenario());
        assertThat(bound.slotSeconds(Samples.PAGE, 0.5).get("lists")).isEqualTo(0.15, EXACT);
        assertThat(bound.slotSeconds(Samples.PAGE, 0.5).get("holdings")).isEqualTo(0.1, EXACT);
    }

    @Test
    void aSlowServiceLowersItWithinItsSpanOnly() throws Exception {
        Fault slow = new Fault(FaultKind.SLOW, "holdings", new Span(0.4, 0.6), 10, 0);
        Scenario scenario = new Scenario(
                "test",
                "",
                "test",
                0,
                10,
                new Span(0.4, 0.6),
                ImmutableList.of(),
                Samples.PATIENT,
                ImmutableList.of(slow));
        CapacityBound bound = CapacityBound.of(topology(20), scenario);
        assertThat(bound.at(0.3)).isEqualTo(100, EXACT);
        assertThat(bound.mean(scenario.cause())).isEqualTo(20, EXACT);
        assertThat(bound.mean()).isEqualTo(84, EXACT);
    }
}

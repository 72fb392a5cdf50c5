package io.beryldock.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.beryldock.settings.SettingsException;
import org.junit.jupiter.api.Test;

final class ScenarioCatalogueTest {

    @Test
    void everyScenarioIsWellFormedAndItsCapacityIsKnown() throws Exception {
        for (String name : ScenarioCatalogue.NAMES) {
            Scenario scenario = ScenarioCatalogue.scenario(name);
            Topology topology = ScenarioCatalogue.topology(scenario.topology());
            assertThat(scenario.name()).isEqualTo(name);
            assertThat(scenario.cause().until()).isLessThan(1);
            assertThat(CapacityBound.of(topology, scenario).mean()).isPositive();
        }
    }

    /**
     * Orders and starts must be answered wherever the slots hold them; a scenario that asks for more proves
     * nothing.
     */
    @Test
    void theSlotsHoldEveryOrderAndStartInEveryScenario() throws Exception {
        for (String name : ScenarioCatalogue.NAMES) {
            Scenario scenario = ScenarioCatalogue.scenario(name);
            Topology topology = ScenarioCatalogue.topology(scenario.topology());
            CapacityBound bound = CapacityBound.of(topology, scenario);
            for (Topology.Service service : topology.services()) {
                double needed = topology.callers().stream()
                        .filter(callers -> callers.key() != Topology.KeyKind.NONE)
                        .mapToDouble(callers -> callers.perSecond()
                                * scenario.loadFactor(scenario.cause().from())
                                * bound.slotSeconds(callers, scenario.cause().from())
                                        .getOrDefault(service.name(), 0.0))
                        .sum();
                assertThat(needed)
                        .as("%s in %s", service.name(), name)
                        .isLessThan(service.slots() * service.instances());
            }
        }
    }

    @Test
    void anUnknownScenarioIsNamedWithThoseThatAre() {
        assertThatThrownBy(() -> ScenarioCatalogue.scenario("none-such"))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("slow-holdings");
    }
}

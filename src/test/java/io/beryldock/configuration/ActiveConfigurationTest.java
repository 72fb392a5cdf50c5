package io.beryldock.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ActiveConfigurationTest {

    private final ActiveConfiguration active = ActiveConfiguration.create(Configuration.imported(0, List.of()));

    /** Guards against parts of a node that go by different versions because one failed to take over the new one. */
    @Test
    void aListenerThatFailsKeepsNoOtherFromTheNewVersion() {
        List<Long> told = new ArrayList<>();
        active.onChange(next -> {
            throw new IllegalStateException("a fault of the listener");
        });
        active.onChange(next -> told.add(next.version()));
        assertThat(active.adopt(Configuration.imported(3, List.of()), List.of()))
                .isTrue();
        assertThat(told).containsExactly(3L);
    }
}

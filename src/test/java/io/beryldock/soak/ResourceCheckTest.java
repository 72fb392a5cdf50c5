package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class ResourceCheckTest {

    private final CheckTrial trial = CheckTrial.of(new ResourceCheck());

    /** Guards against a node that grows until its VM ends it. */
    @Test
    void moreMemoryThanTheVmHasBreaksIt() {
        assertThat(trial.sampled(ResourceCheck.MAX_KILOBYTES + 1, 1).broken()).hasSize(1);
    }

    /** Guards against connections that are never closed. */
    @Test
    void filesWithoutBoundBreakIt() {
        assertThat(trial.sampled(1, ResourceCheck.MAX_FILES + 1).broken()).hasSize(1);
    }

    @Test
    void theBoundsThemselvesHold() {
        assertThat(trial.sampled(ResourceCheck.MAX_KILOBYTES, ResourceCheck.MAX_FILES)
                        .broken())
                .isEmpty();
    }
}

package io.beryldock.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.golden.GoldenFile;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class TimelineMergerTest {

    private static final long SEED = 41;

    @Test
    void seededRunsReadTheSame() {
        ImmutableList<Event> events = SeededTimeline.merged(SeededTimeline.run(SEED, 2, 6));
        GoldenFile.check("timeline.txt", TimelineTextWriter.write(events));
        GoldenFile.check("timeline.jsonl", TimelineJsonWriter.write(events));
    }

    @Test
    void orderAndRepetitionOfThePartsDoNotMatter() {
        List<ImmutableList<Event>> parts = SeededTimeline.run(SEED, 3, 4).stream()
                .map(ring -> ring.since(HlcTime.ZERO))
                .collect(Collectors.toList());
        ImmutableList<Event> merged = TimelineMerger.merge(parts);
        parts.add(parts.get(0));
        Collections.shuffle(parts, new Random(SEED));
        assertThat(TimelineMerger.merge(parts)).isEqualTo(merged);
    }

    /**
     * An operator reads that a node applied a configuration before the node that changed it had done so: the machines'
     * wall clocks differ by up to 40 ms, and the message took less. Sorted by wall clocks alone, the effect stands
     * above its cause.
     */
    @Test
    void causesComeBeforeEffectsThoughWallClocksDiffer() {
        for (long seed = 0; seed < 200; seed++) {
            List<EventKind> kinds = SeededTimeline.merged(SeededTimeline.run(seed, 3, 0)).stream()
                    .map(Event::kind)
                    .toList();
            assertThat(kinds.indexOf(EventKind.CONFIGURATION_CHANGED))
                    .as("seed %d", seed)
                    .isLessThan(kinds.indexOf(EventKind.CONFIGURATION_APPLIED));
        }
    }
}

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
    void seededRunMatchesTheGoldenFiles() {
        ImmutableList<Event> events = SeededTimeline.merged(SeededTimeline.run(SEED, 2, 6));
        GoldenFile.check("timeline.txt", TimelineTextWriter.write(events));
        GoldenFile.check("timeline.jsonl", TimelineJsonWriter.write(events));
    }

    @Test
    void orderAndRepetitionOfPartsDoNotChangeTheResult() {
        List<ImmutableList<Event>> parts = SeededTimeline.run(SEED, 3, 4).stream()
                .map(ring -> ring.since(HlcTime.ZERO))
                .collect(Collectors.toList());
        ImmutableList<Event> merged = TimelineMerger.merge(parts);
        parts.add(parts.get(0));
        Collections.shuffle(parts, new Random(SEED));
        assertThat(TimelineMerger.merge(parts)).isEqualTo(merged);
    }

    /**
     * Guards against an effect that precedes its cause, such as a configuration that is applied before it is changed.
     * Wall clocks differ by up to 40 ms and messages take less, so that an order by wall clocks alone would be wrong.
     */
    @Test
    void causePrecedesEffectWhenWallClocksDiffer() {
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

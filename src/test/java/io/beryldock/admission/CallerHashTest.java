package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.ServiceLevel;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CallerHashTest {

    @Test
    void isEqualInAnEpochAndSpreadsCallersEvenly() {
        assertThat(CallerHash.of("reader-1", 7)).isEqualTo(CallerHash.of("reader-1", 7));
        long inFirstHalf = IntStream.range(0, 10_000)
                .filter(i -> CallerHash.position(0, CallerHash.of("reader-" + i, 7)) < ServiceLevel.STEPS / 2)
                .count();
        assertThat(inFirstHalf).isBetween(4_800L, 5_200L);
    }

    // Guards against an order of callers that never changes: the same callers would always be shed while others never
    // are.
    @Test
    void epochChangesWhoIsShed() {
        long moved = IntStream.range(0, 1_000)
                .filter(i -> CallerHash.position(0, CallerHash.of("reader-" + i, 7))
                        != CallerHash.position(0, CallerHash.of("reader-" + i, 8)))
                .count();
        assertThat(moved).isGreaterThan(950);
    }
}

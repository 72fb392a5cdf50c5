package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.soak.ResponseFault;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class ResponseDefectsTest {

    private static final int DRAWS = 5_000;

    private final ResponseDefects defects = new ResponseDefects(1);

    private Set<ResponseDefect> drawn() {
        Set<ResponseDefect> drawn = EnumSet.noneOf(ResponseDefect.class);
        for (int i = 0; i < DRAWS; i++) {
            drawn.add(defects.next());
        }
        return drawn;
    }

    @Test
    void responsesAreSoundWithoutFaults() {
        assertThat(drawn()).containsExactly(ResponseDefect.NONE);
    }

    @ParameterizedTest
    @EnumSource(ResponseFault.class)
    void activeFaultBringsAllOfItsDefectsAndSoundResponses(ResponseFault fault) {
        defects.set(fault, true);
        EnumSet<ResponseDefect> expected = EnumSet.copyOf(ResponseDefect.of(fault));
        expected.add(ResponseDefect.NONE);
        assertThat(drawn()).isEqualTo(expected);
    }

    @Test
    void faultLastsUntilTheEndOfTheLastPeriod() {
        defects.set(ResponseFault.REPEATED, true);
        defects.set(ResponseFault.REPEATED, true);
        defects.set(ResponseFault.REPEATED, false);
        assertThat(drawn()).contains(ResponseDefect.COPIED_LATE);
        defects.set(ResponseFault.REPEATED, false);
        assertThat(drawn()).containsExactly(ResponseDefect.NONE);
    }
}

package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.soak.ResponseFault;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class SoakDefectsTest {

    private static final int DRAWS = 5_000;

    private final SoakDefects defects = new SoakDefects(1);

    private Set<SoakDefect> drawn() {
        Set<SoakDefect> drawn = EnumSet.noneOf(SoakDefect.class);
        for (int i = 0; i < DRAWS; i++) {
            drawn.add(defects.next());
        }
        return drawn;
    }

    @Test
    void responsesAreSoundWithoutFaults() {
        assertThat(drawn()).containsExactly(SoakDefect.NONE);
    }

    @ParameterizedTest
    @EnumSource(ResponseFault.class)
    void activeFaultBringsAllOfItsDefectsAndSoundResponses(ResponseFault fault) {
        defects.set(fault, true);
        EnumSet<SoakDefect> expected = EnumSet.copyOf(SoakDefect.of(fault));
        expected.add(SoakDefect.NONE);
        assertThat(drawn()).isEqualTo(expected);
    }

    @Test
    void faultLastsUntilTheEndOfTheLastPeriod() {
        defects.set(ResponseFault.REPEATED, true);
        defects.set(ResponseFault.REPEATED, true);
        defects.set(ResponseFault.REPEATED, false);
        assertThat(drawn()).contains(SoakDefect.COPIED_LATE);
        defects.set(ResponseFault.REPEATED, false);
        assertThat(drawn()).containsExactly(SoakDefect.NONE);
    }
}

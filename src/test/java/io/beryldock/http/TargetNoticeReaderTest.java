package io.beryldock.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.Headers;
import io.beryldock.call.TargetNotice;
import java.util.Arrays;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class TargetNoticeReaderTest {

    private final TargetNoticeReader reader = TargetNoticeReader.create("Limit", "Leaving");

    private static Headers headers(String name, String... values) {
        return Headers.of(Arrays.stream(values)
                .map(value -> new Headers.Header(name, value))
                .toList());
    }

    private OptionalDouble rate(String... values) {
        return reader.read(headers("limit", values)).ratePerSecond();
    }

    @Test
    void answerWithoutTheHeadersNamesNothing() {
        assertThat(reader.read(Headers.empty())).isEqualTo(TargetNotice.none());
    }

    @Test
    void decimalNumbersAreRead() {
        assertThat(rate("29.7")).hasValue(29.7);
        assertThat(rate(" 30 ")).hasValue(30);
        assertThat(rate("0")).hasValue(0);
        assertThat(rate("0.3")).hasValue(0.3);
        assertThat(rate("1e9")).hasValue(1e9);
    }

    /** Guards against a limit that is lost or becomes infinite because its value can't be read. */
    @Test
    void unreadableValuesSayNothing() {
        for (String value : new String[] {"", "-1", "NaN", "Infinity", "many", "1,5x", "0x10", "1e999", "5d", "."}) {
            assertThat(rate(value.replace(",", ""))).as(value).isEmpty();
        }
    }

    @Test
    void lowestOfSeveralReadableValuesHolds() {
        assertThat(rate("30", "20")).hasValue(20);
        assertThat(rate("30, 20")).hasValue(20);
        assertThat(rate("none", "20")).hasValue(20);
    }

    @Test
    void leavingIsReadWithOrWithoutALimit() {
        assertThat(reader.read(headers("Leaving", "1")))
                .isEqualTo(new TargetNotice(OptionalDouble.of(TargetNotice.UNLIMITED), true));
        assertThat(reader.read(headers("Leaving", "0")).leaving()).isFalse();
        assertThat(reader.read(headers("Leaving", "1").with("Limit", "5")).ratePerSecond())
                .hasValue(5);
    }
}

package io.beryldock.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RequestIdTest {

    @Test
    void textFormRoundTrips() {
        RequestIds ids = RequestIds.of(Incarnation.random(new Random(7)));
        RequestId first = ids.next();
        assertThat(RequestId.parse(first.toString())).isEqualTo(first);
        assertThat(ids.next()).isNotEqualTo(first);
    }
}

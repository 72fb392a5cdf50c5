package io.beryldock.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link TicketId}. */
final class TicketIdTest {

    @Property(tries = 200)
    void textFormRoundTrips(
            @ForAll @AlphaChars @Chars({'.', '-', '_'}) @StringLength(min = 1, max = 30) String name,
            @ForAll long high,
            @ForAll long counter,
            @ForAll long nonce) {
        TicketHome home = new TicketHome(DataCentre.of(name), NodeId.of(name), new Incarnation(high, counter));
        TicketId ticket = new TicketId(home, counter, nonce);
        assertThat(TicketId.isTicket(ticket.toString())).isTrue();
        assertThat(TicketId.parse(ticket.toString())).isEqualTo(ticket);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"bd1:", "bd1:gent-a:n:0:1:2", "bd2:a:b:c:d:e", "bd1:a:b:00000000000000000000000000000001:x:1"})
    void malformedTextIsRefused(String text) {
        assertThatThrownBy(() -> TicketId.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }
}

package io.beryldock.idempotency;

import com.google.common.base.Splitter;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import java.util.HexFormat;
import java.util.List;

/**
 * Identifier of one ticket: who decides over it and a number of its own.
 *
 * <p>Immutable. The text form is {@code bd1:DATA-CENTRE:NODE:INCARNATION:COUNTER:NONCE}, for example
 * {@code bd1:gent-a:gent-a-lists-1:0123456789abcdef0123456789abcdef:1f:00c0ffee00c0ffee}; names hold no colon. The
 * nonce is random, so that nobody can present a ticket that was given to another caller by counting.
 *
 * @param counter rises with each ticket of the home, from 1
 */
public record TicketId(TicketHome home, long counter, long nonce) {

    /** How the text form of every ticket starts. */
    public static final String PREFIX = "bd1:";

    private static final int PARTS = 6;
    private static final int HEX = 16;
    private static final Splitter COLON = Splitter.on(':');

    /** Whether the text of a key means to be a ticket, well formed or not. */
    public static boolean isTicket(String key) {
        return key.startsWith(PREFIX);
    }

    /** Reads the text form; throws {@link IllegalArgumentException} when it is malformed. */
    public static TicketId parse(String text) {
        List<String> parts = COLON.splitToList(text);
        if (parts.size() != PARTS || !isTicket(text)) {
            throw new IllegalArgumentException(
                    "a ticket is bd1:DATA-CENTRE:NODE:INCARNATION:COUNTER:NONCE: '" + text + "'");
        }
        Incarnation incarnation = Incarnation.parse(parts.get(3));
        TicketHome home = new TicketHome(DataCentre.of(parts.get(1)), NodeId.of(parts.get(2)), incarnation);
        long counter = Long.parseUnsignedLong(parts.get(4), HEX);
        return new TicketId(home, counter, Long.parseUnsignedLong(parts.get(5), HEX));
    }

    @Override
    public String toString() {
        return PREFIX + home.dataCentre() + ":" + home.node() + ":" + home.incarnation() + ":"
                + Long.toHexString(counter) + ":" + HexFormat.of().toHexDigits(nonce);
    }
}

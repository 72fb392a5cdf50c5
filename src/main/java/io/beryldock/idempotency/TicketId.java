package io.beryldock.idempotency;

import com.google.common.base.Splitter;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import java.util.HexFormat;
import java.util.List;

/**
 * Identifier of a ticket: its home, a counter and a nonce.
 *
 * <p>Immutable. The text form is {@code bd1:DATA-CENTRE:NODE:INCARNATION:COUNTER:NONCE}, for example {@code
 * bd1:gent-a:gent-a-lists-1:0123456789abcdef0123456789abcdef:1f:00c0ffee00c0ffee}; names contain no colon. The nonce is
 * random, so that a caller cannot guess another caller's ticket by counting.
 *
 * @param counter sequence number of the ticket at its home, starting at 1
 */
public record TicketId(TicketHome home, long counter, long nonce) {

    /** Prefix of the text form of every ticket. */
    public static final String PREFIX = "bd1:";

    private static final int PARTS = 6;
    private static final int HEX = 16;
    private static final Splitter COLON = Splitter.on(':');

    /** Whether a key has the prefix of a ticket; the rest may still be malformed. */
    public static boolean isTicket(String key) {
        return key.startsWith(PREFIX);
    }

    /** Parses the text form; throws {@link IllegalArgumentException} if it is malformed. */
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

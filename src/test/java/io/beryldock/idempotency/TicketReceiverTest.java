package io.beryldock.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.WireTicketOffer;
import io.beryldock.wire.WireTicketPart;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of {@link TicketReceiver}. */
final class TicketReceiverTest {

    private static final NodeDescriptor SELF = KeyedFixtures.node("successor", 2);
    private static final TicketSettings SETTINGS = TicketSettings.defaults();

    private final ManualTimerService timers = ManualTimerService.create();
    private final TicketRegistry tickets =
            TicketRegistry.create(SELF, SETTINGS, timers.ticker(), new Random(1), EventSink.none());
    private final TicketReceiver receiver =
            TicketReceiver.create(TicketHome.of(SELF), tickets, timers.ticker(), EventSink.none());
    private TicketTransfer transfer;

    @BeforeEach
    void freezeATableOfTwoTickets() throws TicketRefusedException {
        TicketTable home = TicketTable.create(
                KeyedFixtures.node("home", 1), SETTINGS, timers.ticker(), new Random(2), EventSink.none());
        home.mint();
        home.mint();
        transfer = home.freeze();
    }

    @Test
    void adoptsATableOnceEveryPartIsHere() {
        assertThat(receiver.offered(offer()).getAccepted()).isTrue();
        assertThat(receiver.received(part(1)).getAccepted()).isTrue();
        assertThat(tickets.adopted()).isEmpty();
        assertThat(receiver.received(part(0)).getAccepted()).isTrue();
        assertThat(tickets.adopted()).hasSize(1);
        assertThat(receiver.received(part(0)).getAccepted()).isTrue();
        assertThat(tickets.adopted()).hasSize(1);
    }

    /**
     * A node is too slow and refuses the last part of a table, whose home then hands it to another node. Doubled copies
     * of all the messages come after that, and the table would live at two nodes that both dispatch its orders.
     */
    @Test
    void refusesForEverWhatItRefusedOnce() {
        receiver.offered(offer());
        receiver.received(part(0));
        timers.advance(TicketReceiver.LIMIT.plus(Duration.ofSeconds(1)));
        assertThat(receiver.received(part(1)).getAccepted()).isFalse();
        assertThat(receiver.offered(offer()).getAccepted()).isFalse();
        assertThat(receiver.received(part(0)).getAccepted()).isFalse();
        assertThat(receiver.received(part(1)).getAccepted()).isFalse();
        assertThat(tickets.adopted()).isEmpty();
    }

    @Test
    void refusesTablesOnceItIsStoppingItself() {
        receiver.offered(offer());
        receiver.received(part(0));
        tickets.freezeAll();
        assertThat(receiver.received(part(1)).getAccepted()).isFalse();
        assertThat(tickets.adopted()).isEmpty();
    }

    private WireTicketOffer offer() {
        return WireTicketOffer.newBuilder()
                .setOrigin(transfer.origin().toWire())
                .setSuccessorHigh(SELF.incarnation().high())
                .setSuccessorLow(SELF.incarnation().low())
                .setParts(2)
                .setEntries(2)
                .setLastCounter(transfer.lastCounter())
                .build();
    }

    private WireTicketPart part(int number) {
        List<Map<Long, TicketEntry>> parts = transfer.parts(1);
        return WireTicketPart.newBuilder()
                .setOrigin(transfer.origin().toWire())
                .setSuccessorHigh(SELF.incarnation().high())
                .setSuccessorLow(SELF.incarnation().low())
                .setNumber(number)
                .addAllEntries(
                        TicketTransfer.write(parts.get(number), timers.ticker().nanos()))
                .build();
    }
}

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
    void adoptsTableAfterAllPartsArrived() {
        assertThat(receiver.handleOffer(offer()).getAccepted()).isTrue();
        assertThat(receiver.handlePart(part(1)).getAccepted()).isTrue();
        assertThat(tickets.adopted()).isEmpty();
        assertThat(receiver.handlePart(part(0)).getAccepted()).isTrue();
        assertThat(tickets.adopted()).hasSize(1);
        assertThat(receiver.handlePart(part(0)).getAccepted()).isTrue();
        assertThat(tickets.adopted()).hasSize(1);
    }

    /**
     * Guards against a table that is held by two nodes, both of which would dispatch its orders. A slow successor
     * refuses the last part, the home hands the table to another node, and then duplicates of all messages reach the
     * first successor.
     */
    @Test
    void refusedTableStaysRefused() {
        receiver.handleOffer(offer());
        receiver.handlePart(part(0));
        timers.advance(TicketReceiver.TRANSFER_TIMEOUT.plus(Duration.ofSeconds(1)));
        assertThat(receiver.handlePart(part(1)).getAccepted()).isFalse();
        assertThat(receiver.handleOffer(offer()).getAccepted()).isFalse();
        assertThat(receiver.handlePart(part(0)).getAccepted()).isFalse();
        assertThat(receiver.handlePart(part(1)).getAccepted()).isFalse();
        assertThat(tickets.adopted()).isEmpty();
    }

    @Test
    void refusesTablesWhileStopping() {
        receiver.handleOffer(offer());
        receiver.handlePart(part(0));
        tickets.freezeAll();
        assertThat(receiver.handlePart(part(1)).getAccepted()).isFalse();
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
                        TicketTransfer.encode(parts.get(number), timers.ticker().nanos()))
                .build();
    }
}

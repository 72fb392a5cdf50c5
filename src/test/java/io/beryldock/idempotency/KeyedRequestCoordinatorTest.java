package io.beryldock.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.store.StoreFaults;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link KeyedRequestCoordinator} with the parts of four nodes, on a network where nothing is lost by chance.
 */
final class KeyedRequestCoordinatorTest {

    private static final String KEY = "order-of-today";

    private final SimulatedFleet fleet = new SimulatedFleet(1, SimulatedFleet.Variant.NONE);

    @BeforeEach
    void calm() {
        fleet.network().calm();
    }

    @Test
    void twoNodesGivenOneKeyAtOnceRunItOnceAndAnswerBoth() {
        submit(0, KEY);
        submit(1, KEY);
        pass(1);
        assertThat(fleet.ledger().count(Outcome.ANSWERED)).isEqualTo(2);
        assertThat(fleet.ledger().runs(KEY)).isEqualTo(1);
    }

    /**
     * The platform store is down for the morning and a librarian orders with a key. Nobody can say whether another node
     * has bound that key, so the outcome is UNKNOWN and nothing runs; sent again when the store is back it runs once.
     */
    @Test
    void keyIsUnknownWhileTheStoreIsDownAndRunsOnceAfterwards() {
        fleet.store().setFaults(StoreFaults.none().withDown(true));
        submit(0, KEY);
        pass(2);
        assertRefused(KEY, Outcome.UNKNOWN, Reason.KEY_STORE_DOWN);
        fleet.store().setFaults(StoreFaults.none());
        submit(1, KEY);
        submit(0, KEY);
        pass(2);
        assertAnsweredOnce(KEY);
    }

    @Test
    void ticketRunsWhileTheStoreIsDown() throws TicketRefusedException {
        fleet.store().setFaults(StoreFaults.none().withDown(true));
        String ticket = mint(0);
        submit(2, ticket);
        pass(1);
        assertAnsweredOnce(ticket);
    }

    /**
     * The node that minted a ticket dies after the order ran, and the caller, whose answer got lost, sends it again.
     * The answer is still at the target's node: the caller gets it instead of being left in doubt.
     */
    @Test
    void answerIsFoundAtTheTargetsNodeWhenTheHomeIsGone() throws TicketRefusedException {
        String ticket = mint(3);
        submit(3, ticket);
        pass(1);
        fleet.start(3);
        pass(1);
        submit(0, ticket);
        pass(1);
        assertAnsweredOnce(ticket);
        assertThat(fleet.ledger().count(Outcome.ANSWERED)).isEqualTo(2);
    }

    /** The home dies before the order reached a target: nobody may take over, since nobody can know that. */
    @Test
    void ticketStaysUnknownWhenItsHomeIsGoneAndNoAnswerIsFound() throws TicketRefusedException {
        String ticket = mint(3);
        fleet.start(3);
        pass(1);
        submit(0, ticket);
        submit(3, ticket);
        pass(2);
        assertRefused(ticket, Outcome.UNKNOWN, Reason.HOME_GONE);
        assertThat(fleet.ledger().runs(ticket)).isZero();
    }

    /** A home is stopped for a new version. Tickets given out run once all the same, answers given are given again. */
    @Test
    void successorOfAStoppedHomeDecides() throws TicketRefusedException {
        String used = mint(3);
        String unused = mint(3);
        submit(3, used);
        pass(1);
        fleet.node(3).keyed().handover().stop(Duration.ofSeconds(1), Duration.ofSeconds(2));
        pass(1);
        submit(3, used);
        pass(1);
        assertAnsweredOnce(used);
        fleet.start(3);
        pass(1);
        submit(0, used);
        submit(1, unused);
        submit(3, unused);
        pass(1);
        assertAnsweredOnce(used);
        assertAnsweredOnce(unused);
        assertThat(fleet.ledger().count(Outcome.ANSWERED)).isEqualTo(5);
    }

    /** A node at its bound of tickets refuses a new key, and the refusal holds at every other node too. */
    @Test
    void keyIsClosedWhenTheNodeHoldsAsManyTicketsAsItMay() throws TicketRefusedException {
        while (fleet.node(0).keyed().tickets().own().size() < SimulatedFleet.MAX_TICKETS) {
            mint(0);
        }
        submit(0, KEY);
        pass(1);
        assertRefused(KEY, Outcome.NOT_RUN, Reason.KEY_CLOSED);
        submit(1, KEY);
        pass(1);
        assertRefused(KEY, Outcome.NOT_RUN, Reason.KEY_CLOSED);
    }

    /** Another caller happens to use the same key, or the same caller for another order. */
    @Test
    void keyOfAnotherCallerOrRequestIsRefused() {
        submit(0, KEY);
        pass(1);
        fleet.submit(fleet.node(1), KEY, KeyedFixtures.BOB, "order");
        pass(1);
        assertRefused(KEY, Outcome.UNKNOWN, Reason.KEY_IN_USE);
        fleet.submit(fleet.node(2), KEY, KeyedFixtures.ANN, "another order");
        pass(1);
        assertRefused(KEY, Outcome.UNKNOWN, Reason.KEY_IN_USE);
        assertThat(fleet.ledger().runs(KEY)).isEqualTo(1);
    }

    private String mint(int node) throws TicketRefusedException {
        return fleet.node(node).keyed().tickets().own().mint().toString();
    }

    private void submit(int node, String key) {
        fleet.submit(fleet.node(node), key, KeyedFixtures.ANN, "order");
    }

    private void pass(long seconds) {
        fleet.advance(Duration.ofSeconds(seconds));
        assertThat(fleet.ledger().broken()).isEmpty();
    }

    private void assertAnsweredOnce(String key) {
        assertThat(fleet.ledger().last(key).outcome()).isEqualTo(Outcome.ANSWERED);
        assertThat(fleet.ledger().runs(key)).isEqualTo(1);
    }

    private void assertRefused(String key, Outcome outcome, Reason reason) {
        CallResult last = fleet.ledger().last(key);
        assertThat(last.outcome()).isEqualTo(outcome);
        assertThat(last.reason()).contains(reason);
    }
}

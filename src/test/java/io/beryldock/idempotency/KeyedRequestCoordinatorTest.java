package io.beryldock.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.store.StoreFaults;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of {@link KeyedRequestCoordinator} with four nodes on a simulated network without random faults. */
final class KeyedRequestCoordinatorTest {

    private static final String KEY = "order-of-today";

    private final SimulatedFleet fleet = new SimulatedFleet(1, SimulatedFleet.Variant.NONE);

    @BeforeEach
    void disableFaults() {
        fleet.network().disableFaults();
    }

    @Test
    void concurrentSubmissionsOfOneKeyRunOnceAndAreBothAnswered() {
        submit(0, KEY);
        submit(1, KEY);
        advance(1);
        assertThat(fleet.ledger().count(Outcome.ANSWERED)).isEqualTo(2);
        assertThat(fleet.ledger().runs(KEY)).isEqualTo(1);
    }

    /**
     * Guards against an order that runs twice because its key was accepted during a store outage. While the store is
     * down, no node can rule out that another node has bound the key, so the outcome is UNKNOWN and nothing runs. After
     * the outage the retried key runs once.
     */
    @Test
    void keyIsUnknownWhileTheStoreIsDownAndRunsOnceAfterwards() {
        fleet.store().setFaults(StoreFaults.none().withDown(true));
        submit(0, KEY);
        advance(2);
        assertRefused(KEY, Outcome.UNKNOWN, Reason.KEY_STORE_DOWN);
        fleet.store().setFaults(StoreFaults.none());
        submit(1, KEY);
        submit(0, KEY);
        advance(2);
        assertAnsweredOnce(KEY);
    }

    @Test
    void ticketRunsWhileTheStoreIsDown() throws TicketRefusedException {
        fleet.store().setFaults(StoreFaults.none().withDown(true));
        String ticket = mint(0);
        submit(2, ticket);
        advance(1);
        assertAnsweredOnce(ticket);
    }

    /**
     * Guards against an answer that is lost with the ticket's home. The home crashes after the order ran and the caller
     * retries; the answer is still stored at the target's node and must be replayed.
     */
    @Test
    void answerIsFoundAtTheTargetsNodeWhenTheHomeIsGone() throws TicketRefusedException {
        String ticket = mint(3);
        submit(3, ticket);
        advance(1);
        fleet.start(3);
        advance(1);
        submit(0, ticket);
        advance(1);
        assertAnsweredOnce(ticket);
        assertThat(fleet.ledger().count(Outcome.ANSWERED)).isEqualTo(2);
    }

    /**
     * Guards against a second run by another node. The home crashes before the order reached a target; no other node
     * can know that, so none may dispatch the ticket.
     */
    @Test
    void ticketStaysUnknownWhenItsHomeIsGoneAndNoAnswerIsFound() throws TicketRefusedException {
        String ticket = mint(3);
        fleet.start(3);
        advance(1);
        submit(0, ticket);
        submit(3, ticket);
        advance(2);
        assertRefused(ticket, Outcome.UNKNOWN, Reason.HOME_GONE);
        assertThat(fleet.ledger().runs(ticket)).isZero();
    }

    /**
     * Guards against tickets that are lost when their home is stopped for an upgrade: unused tickets still run once,
     * and stored answers are replayed.
     */
    @Test
    void successorOfAStoppedHomeDecides() throws TicketRefusedException {
        String used = mint(3);
        String unused = mint(3);
        submit(3, used);
        advance(1);
        fleet.node(3).keyed().handover().stop(Duration.ofSeconds(1), Duration.ofSeconds(2));
        advance(1);
        submit(3, used);
        advance(1);
        assertAnsweredOnce(used);
        fleet.start(3);
        advance(1);
        submit(0, used);
        submit(1, unused);
        submit(3, unused);
        advance(1);
        assertAnsweredOnce(used);
        assertAnsweredOnce(unused);
        assertThat(fleet.ledger().count(Outcome.ANSWERED)).isEqualTo(5);
    }

    /**
     * Guards against a refusal that holds at one node only: a key refused because the node is at its ticket limit must
     * be refused at every other node as well.
     */
    @Test
    void keyIsClosedWhenTicketLimitIsReached() throws TicketRefusedException {
        while (fleet.node(0).keyed().tickets().own().size() < SimulatedFleet.MAX_TICKETS) {
            mint(0);
        }
        submit(0, KEY);
        advance(1);
        assertRefused(KEY, Outcome.NOT_RUN, Reason.KEY_CLOSED);
        submit(1, KEY);
        advance(1);
        assertRefused(KEY, Outcome.NOT_RUN, Reason.KEY_CLOSED);
    }

    /**
     * Guards against replaying an answer to another caller with the same key, or to the same caller for a different
     * order.
     */
    @Test
    void keyOfAnotherCallerOrRequestIsRefused() {
        submit(0, KEY);
        advance(1);
        fleet.submit(fleet.node(1), KEY, KeyedFixtures.BOB, "order");
        advance(1);
        assertRefused(KEY, Outcome.UNKNOWN, Reason.KEY_IN_USE);
        fleet.submit(fleet.node(2), KEY, KeyedFixtures.ANN, "another order");
        advance(1);
        assertRefused(KEY, Outcome.UNKNOWN, Reason.KEY_IN_USE);
        assertThat(fleet.ledger().runs(KEY)).isEqualTo(1);
    }

    private String mint(int node) throws TicketRefusedException {
        return fleet.node(node).keyed().tickets().own().mint().toString();
    }

    private void submit(int node, String key) {
        fleet.submit(fleet.node(node), key, KeyedFixtures.ANN, "order");
    }

    private void advance(long seconds) {
        fleet.advance(Duration.ofSeconds(seconds));
        assertThat(fleet.ledger().violation()).isEmpty();
    }

    private void assertAnsweredOnce(String key) {
        assertThat(fleet.ledger().lastResult(key).outcome()).isEqualTo(Outcome.ANSWERED);
        assertThat(fleet.ledger().runs(key)).isEqualTo(1);
    }

    private void assertRefused(String key, Outcome outcome, Reason reason) {
        CallResult result = fleet.ledger().lastResult(key);
        assertThat(result.outcome()).isEqualTo(outcome);
        assertThat(result.reason()).contains(reason);
    }
}

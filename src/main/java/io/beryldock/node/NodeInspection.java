package io.beryldock.node;

import io.beryldock.admission.EntryShedder;
import io.beryldock.admission.GateSnapshot;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.command.NodeInspector;
import io.beryldock.command.QueryTable;
import io.beryldock.command.ShowColumns;
import io.beryldock.command.ShowStatement;
import io.beryldock.forwarding.AnnouncedTarget;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.idempotency.TicketSettings;
import io.beryldock.idempotency.TicketTable;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.ConnectionSnapshot;
import io.beryldock.peer.NettyPeerTransport;
import io.beryldock.peer.PeerIdentity;
import io.beryldock.time.Ticker;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Answers operators' show statements about this node.
 *
 * <p>Thread safe: state that the control thread owns is read on that thread.
 */
final class NodeInspection implements NodeInspector {

    private final Parts parts;
    private final long startNanos;

    NodeInspection(Parts parts) {
        this.parts = parts;
        this.startNanos = parts.ticker().nanos();
    }

    /** The components whose state is shown. */
    record Parts(
            NodeDescriptor self,
            ControlLoop control,
            Membership membership,
            TargetAnnouncements announcements,
            EntryShedder shedder,
            KeyedRequests keyed,
            NettyPeerTransport transport,
            LedgerTables ledgers,
            Ticker ticker) {}

    @Override
    public CompletableFuture<QueryTable> inspect(ShowStatement statement) {
        return CompletableFuture.supplyAsync(() -> table(statement), parts.control());
    }

    private QueryTable table(ShowStatement statement) {
        return switch (statement.topic()) {
            case TARGETS -> targets();
            case NODES -> nodes();
            case LEVELS -> levels();
            case RETRIES -> parts.ledgers().retries();
            case TICKETS -> tickets();
            case CONNECTIONS -> connections();
            case QUARANTINE -> parts.ledgers().quarantine();
            case TIMELINE, SHED, CONFIGURATION, CHANGES ->
                throw new IllegalArgumentException(statement.topic() + " is not answered by the node inspection");
        };
    }

    private QueryTable targets() {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.TARGETS);
        parts.announcements().current().ifPresent(target -> addTarget(table, target));
        return table.build();
    }

    private void addTarget(QueryTable.Builder table, AnnouncedTarget target) {
        GateSnapshot gate = target.gate().snapshot();
        table.row(
                target.service().value(),
                parts.self().id().value(),
                parts.self().dataCentre().value(),
                parts.announcements().stateName(),
                parts.announcements().slots(),
                gate.limit(),
                gate.inFlight(),
                gate.queued());
    }

    private QueryTable nodes() {
        long upMillis = TimeUnit.NANOSECONDS.toMillis(parts.ticker().nanos() - startNanos);
        return QueryTable.builder(ShowColumns.NODES)
                .row(
                        parts.self().id().value(),
                        parts.self().dataCentre().value(),
                        parts.membership().isCutOff() ? "cut off" : "serving",
                        parts.self().incarnation().toString(),
                        parts.membership().directory().nodes().size(),
                        upMillis)
                .build();
    }

    private QueryTable levels() {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.LEVELS);
        for (ServiceName service : parts.membership().directory().targets().keySet()) {
            int level = parts.shedder().level(service);
            if (level < ServiceLevel.OPEN) {
                table.row(service.value(), level, level, 1, 0);
            }
        }
        return table.build();
    }

    private QueryTable tickets() {
        TicketTable own = parts.keyed().tickets().own();
        return QueryTable.builder(ShowColumns.TICKETS)
                .row(
                        parts.self().id().value(),
                        own.frozen() ? "frozen" : "deciding",
                        null,
                        own.inFlight(),
                        own.size() - own.inFlight(),
                        null,
                        TicketSettings.defaults().maxTickets())
                .build();
    }

    private QueryTable connections() {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.CONNECTIONS);
        for (ConnectionSnapshot connection : parts.transport().stats().connections()) {
            table.row(
                    parts.self().id().value(),
                    connection.direction().name(),
                    connection
                            .peer()
                            .map(PeerIdentity::node)
                            .map(Object::toString)
                            .orElseGet(() -> connection.address().toString()),
                    connection.state(),
                    1,
                    connection.outstanding(),
                    0);
        }
        return table.build();
    }
}

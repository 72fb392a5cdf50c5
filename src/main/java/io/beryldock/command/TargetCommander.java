package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.peer.PeerException;
import io.beryldock.peer.PeerTopic;
import io.beryldock.wire.QueryReply;
import io.beryldock.wire.QueryRequest;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Drains and undrains targets, each by the node in its own VM.
 *
 * <p>Thread safe, never blocks; futures never fail. The command goes from node to node, not through the platform store,
 * so that a target can be drained while the store is down. Draining twice does no harm, so an unknown outcome is
 * settled by the same command.
 */
final class TargetCommander {

    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final OperatorPorts ports;

    private TargetCommander(OperatorPorts ports) {
        this.ports = ports;
    }

    static TargetCommander create(OperatorPorts ports) {
        return new TargetCommander(ports);
    }

    /** Sends the command to the target's node. */
    CompletableFuture<TargetReport> command(ChangeStatement.OfTarget change) {
        if (change.node().equals(ports.self())) {
            return CompletableFuture.completedFuture(TargetReport.done(apply(change)));
        }
        Optional<NodeDescriptor> node = ports.directory().get().node(change.node());
        if (node.isEmpty()) {
            return CompletableFuture.completedFuture(TargetReport.unknownNode(change.node()));
        }
        QueryRequest request =
                QueryRequest.newBuilder().setStatement(change.text()).build();
        return ports.transport()
                .request(node.get().peerAddress(), PeerTopic.QUERY, request.toByteString(), TIMEOUT)
                .handle((reply, error) -> report(change.node(), reply, error));
    }

    /** Carries the command out at this node, on behalf of the node that was asked. */
    QueryResult commandHere(ChangeStatement.OfTarget change) {
        if (!change.node().equals(ports.self())) {
            return QueryResult.failed(ports.self(), "this node is " + ports.self() + ", not " + change.node());
        }
        return new QueryResult(
                QueryTable.empty(),
                1,
                ImmutableSortedSet.of(),
                ImmutableSortedSet.of(),
                ImmutableList.of(apply(change)),
                0);
    }

    /** What the command would do. */
    String explain(ChangeStatement.OfTarget change) {
        String state = ports.directory().get().targets().values().stream()
                .flatMap(ImmutableList::stream)
                .filter(target -> target.node().id().equals(change.node()))
                .map(TargetCommander::describe)
                .findFirst()
                .orElse("no target is announced by " + change.node());
        boolean drains = change instanceof ChangeStatement.DrainTarget;
        String effect = drains ? "it would take no new work; work in flight would finish" : "it would take new work";
        return state + "; " + effect;
    }

    private static String describe(TargetRecord target) {
        String state = target.state().name().toLowerCase(Locale.ROOT);
        return target.node().id() + " serves " + target.service() + " with " + target.slots() + " slots and is "
                + state;
    }

    private String apply(ChangeStatement.OfTarget change) {
        boolean drains = change instanceof ChangeStatement.DrainTarget;
        return drains ? ports.target().drain() : ports.target().undrain();
    }

    private static TargetReport report(NodeId node, ByteString reply, Throwable error) {
        if (error != null) {
            Throwable cause = error.getCause() == null ? error : error.getCause();
            boolean notSent = cause instanceof PeerException peer && peer.kind() == PeerException.Kind.NOT_SENT;
            return notSent ? TargetReport.unreachable(node) : TargetReport.unknown(node);
        }
        try {
            QueryReply read = QueryReply.parseFrom(reply);
            if (!read.getError().isEmpty()) {
                return TargetReport.refused(node, read.getError());
            }
            boolean silent = read.getSilentNodesCount() > 0;
            String note = String.join("; ", read.getNotesList());
            return silent ? TargetReport.refused(node, note) : TargetReport.done(note);
        } catch (InvalidProtocolBufferException e) {
            return TargetReport.unknown(node);
        }
    }
}

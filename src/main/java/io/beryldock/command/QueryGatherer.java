package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.PeerTopic;
import io.beryldock.wire.QueryReply;
import io.beryldock.wire.QueryRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Gathers the answer to a query over the nodes of this data centre, or of all.
 *
 * <p>Thread safe, never blocks; futures never fail. This node asks every node of its own data centre, a bounded number
 * at once, and of each other data centre one node, which asks the nodes of its own: so no node asks more than its data
 * centre and one node each of the others. Whoever does not answer in time is named in the result.
 */
final class QueryGatherer {

    /** Nodes asked at once. */
    static final int MAX_CONCURRENT = 64;

    /** Rows of an answer, from however many nodes. */
    static final int MAX_ROWS = 10_000;

    /** Rows that a node may always give, however many nodes there are. */
    static final int MIN_ROWS_PER_NODE = 20;

    static final Duration NODE_TIMEOUT = Duration.ofSeconds(1);
    static final Duration DATA_CENTRE_BUDGET = Duration.ofSeconds(3);
    static final Duration DELEGATE_TIMEOUT = DATA_CENTRE_BUDGET.plus(NODE_TIMEOUT);
    static final Duration EVERYWHERE_BUDGET = DELEGATE_TIMEOUT.multipliedBy(2);

    /** Nodes of another data centre asked one after the other until one answers. */
    static final int DELEGATES = 2;

    private final OperatorPorts ports;
    private final LocalQuery local;

    private QueryGatherer(OperatorPorts ports, LocalQuery local) {
        this.ports = ports;
        this.local = local;
    }

    static QueryGatherer create(OperatorPorts ports, LocalQuery local) {
        return new QueryGatherer(ports, local);
    }

    /** The answer of this data centre and of the others named. */
    CompletableFuture<QueryResult> gather(Query query, ImmutableSet<DataCentre> others) {
        List<DataCentre> all = new ArrayList<>(others);
        all.remove(ports.dataCentre());
        all.add(0, ports.dataCentre());
        return BoundedFanOut.run(
                        all,
                        all.size(),
                        dataCentre -> gatherOne(query, dataCentre),
                        QueryResult::silent,
                        ports.timer(),
                        EVERYWHERE_BUDGET)
                .thenApply(results -> ResultMerger.merge(query.topic(), results, MAX_ROWS));
    }

    /** The answer of one node, wherever it is. */
    CompletableFuture<QueryResult> askNode(Query query, NodeId node) {
        if (node.equals(ports.self())) {
            return answerSelf(query, MAX_ROWS);
        }
        Optional<NodeDescriptor> peer = ports.directory().get().node(node);
        return peer.map(found -> ask(found, query, QueryScope.NODE, MAX_ROWS, NODE_TIMEOUT))
                .orElseGet(() -> CompletableFuture.completedFuture(
                        QueryResult.failed(node, "no such node is known; see show nodes everywhere")));
    }

    /** The answer of all nodes of this data centre. */
    CompletableFuture<QueryResult> gatherHere(Query query, int maxRows) {
        ImmutableList<NodeDescriptor> peers = peersOf(ports.dataCentre());
        int rowsPerNode = Math.max(MIN_ROWS_PER_NODE, maxRows / (peers.size() + 1));
        CompletableFuture<ImmutableList<QueryResult>> replies = BoundedFanOut.run(
                peers,
                MAX_CONCURRENT,
                peer -> ask(peer, query, QueryScope.NODE, rowsPerNode, NODE_TIMEOUT),
                peer -> QueryResult.silent(peer.id()),
                ports.timer(),
                DATA_CENTRE_BUDGET);
        return answerSelf(query, rowsPerNode).thenCombine(replies, (own, others) -> merge(query, own, others, maxRows));
    }

    /** All data centres that the directory knows, this one among them. */
    ImmutableSortedSet<DataCentre> dataCentres() {
        ImmutableSortedSet.Builder<DataCentre> all = ImmutableSortedSet.naturalOrder();
        ports.directory().get().nodes().values().forEach(node -> all.add(node.dataCentre()));
        return all.add(ports.dataCentre()).build();
    }

    private CompletableFuture<QueryResult> gatherOne(Query query, DataCentre dataCentre) {
        if (dataCentre.equals(ports.dataCentre())) {
            return gatherHere(query, MAX_ROWS);
        }
        return askDelegates(query, dataCentre, pick(dataCentre, DELEGATES), 0);
    }

    private CompletableFuture<QueryResult> askDelegates(
            Query query, DataCentre dataCentre, ImmutableList<NodeDescriptor> delegates, int next) {
        if (next == delegates.size()) {
            return CompletableFuture.completedFuture(QueryResult.silent(dataCentre));
        }
        NodeDescriptor delegate = delegates.get(next);
        return ask(delegate, query, QueryScope.DATA_CENTRE, MAX_ROWS, DELEGATE_TIMEOUT)
                .thenCompose(result -> result.answered() > 0
                        ? CompletableFuture.completedFuture(result)
                        : askDelegates(query, dataCentre, delegates, next + 1));
    }

    private CompletableFuture<QueryResult> answerSelf(Query query, int maxRows) {
        return local.answer(query, maxRows).exceptionally(error -> QueryResult.failed(ports.self(), reason(error)));
    }

    private CompletableFuture<QueryResult> ask(
            NodeDescriptor peer, Query query, QueryScope scope, int maxRows, Duration timeout) {
        QueryRequest request = QueryRequest.newBuilder()
                .setStatement(query.text())
                .setScope(scope.number())
                .setMaxRows(maxRows)
                .build();
        return ports.transport()
                .request(peer.peerAddress(), PeerTopic.QUERY, request.toByteString(), timeout)
                .thenApply(reply -> read(peer, reply))
                .exceptionally(error -> QueryResult.silent(peer.id()));
    }

    private QueryResult read(NodeDescriptor peer, ByteString body) {
        try {
            QueryReply reply = QueryReply.parseFrom(body);
            return reply.getError().isEmpty()
                    ? QueryCodec.result(reply)
                    : QueryResult.failed(peer.id(), reply.getError());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return QueryResult.failed(peer.id(), "its answer can't be read: " + e.getMessage());
        }
    }

    private static QueryResult merge(Query query, QueryResult own, List<QueryResult> others, int maxRows) {
        ImmutableList<QueryResult> all =
                ImmutableList.<QueryResult>builder().add(own).addAll(others).build();
        return ResultMerger.merge(query.topic(), all, maxRows);
    }

    private ImmutableList<NodeDescriptor> peersOf(DataCentre dataCentre) {
        return ports.directory().get().nodes().values().stream()
                .filter(node -> node.dataCentre().equals(dataCentre))
                .filter(node -> !node.id().equals(ports.self()))
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<NodeDescriptor> pick(DataCentre dataCentre, int most) {
        List<NodeDescriptor> left = new ArrayList<>(peersOf(dataCentre));
        ImmutableList.Builder<NodeDescriptor> picked = ImmutableList.builder();
        for (int i = 0; i < most && !left.isEmpty(); i++) {
            picked.add(left.remove(ports.random().nextInt(left.size())));
        }
        return picked.build();
    }

    private static String reason(Throwable error) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
        return "it failed to answer: " + cause.getMessage();
    }
}

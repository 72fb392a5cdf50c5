package io.beryldock.command;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.peer.PeerHandler;
import io.beryldock.wire.QueryReply;
import io.beryldock.wire.QueryRequest;
import java.util.concurrent.CompletableFuture;

/** Answers what other nodes ask on behalf of operators: queries, and the drain of this node's target. Thread safe. */
final class QueryPeerHandler implements PeerHandler {

    private final LocalQuery local;
    private final QueryGatherer gatherer;
    private final TargetCommander commander;

    private QueryPeerHandler(LocalQuery local, QueryGatherer gatherer, TargetCommander commander) {
        this.local = local;
        this.gatherer = gatherer;
        this.commander = commander;
    }

    static QueryPeerHandler create(LocalQuery local, QueryGatherer gatherer, TargetCommander commander) {
        return new QueryPeerHandler(local, gatherer, commander);
    }

    @Override
    public void handle(PeerMessage message) {
        answer(message.body())
                .exceptionally(error -> QueryCodec.error(String.valueOf(error.getMessage())))
                .thenAccept(reply -> message.reply(reply.toByteString()))
                .exceptionally(error -> null);
    }

    private CompletableFuture<QueryReply> answer(ByteString body) {
        try {
            QueryRequest request = QueryRequest.parseFrom(body);
            return answer(request).thenApply(QueryCodec::reply);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return refuse("the question can't be read: " + e.getMessage());
        } catch (StatementException e) {
            return refuse("it runs a release that does not know the statement: " + e.getMessage());
        }
    }

    private CompletableFuture<QueryResult> answer(QueryRequest request) throws StatementException {
        if (!request.getStatement().isEmpty()
                && StatementParser.parse(request.getStatement()) instanceof ChangeStatement.OfTarget change) {
            return CompletableFuture.completedFuture(commander.commandHere(change));
        }
        Query query = Query.parse(request.getStatement());
        int maxRows = Math.min(request.getMaxRows(), QueryGatherer.MAX_ROWS);
        return switch (QueryScope.of(request.getScope())) {
            case NODE -> local.answer(query, maxRows);
            case DATA_CENTRE -> gatherer.gatherHere(query, maxRows);
        };
    }

    private CompletableFuture<QueryReply> refuse(String why) {
        return CompletableFuture.completedFuture(QueryCodec.error(why));
    }
}

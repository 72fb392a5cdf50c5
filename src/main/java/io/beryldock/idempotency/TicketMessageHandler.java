package io.beryldock.idempotency;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.CallCodec;
import io.beryldock.call.CallResult;
import io.beryldock.peer.PeerHandler;
import io.beryldock.wire.WireAnswerQuery;
import io.beryldock.wire.WireAnswerReply;
import io.beryldock.wire.WireTicketHandoverReply;
import io.beryldock.wire.WireTicketReply;
import io.beryldock.wire.WireTicketRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Handles messages of the topic TICKETS and replies to them.
 *
 * <p>Thread safe: requests are processed on the control executor. A malformed message gets an empty reply, which its
 * sender treats as no answer.
 */
public final class TicketMessageHandler implements PeerHandler {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final KeyedRequestCoordinator coordinator;
    private final KeyBinder binder;
    private final TicketReceiver receiver;
    private final KeyedRunTable runTable;
    private final Executor control;

    TicketMessageHandler(
            KeyedRequestCoordinator coordinator,
            KeyBinder binder,
            TicketReceiver receiver,
            KeyedRunTable runTable,
            Executor control) {
        this.coordinator = coordinator;
        this.binder = binder;
        this.receiver = receiver;
        this.runTable = runTable;
        this.control = control;
    }

    @Override
    public void handle(PeerMessage message) {
        try {
            WireTicketRequest request = WireTicketRequest.parseFrom(message.body());
            control.execute(() -> FutureCallbacks.onComplete(
                    process(request),
                    (reply, failure) ->
                            message.reply(replyOrEmpty(reply, failure).toByteString())));
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).log("dropped malformed ticket message from %s", message.sender());
            message.reply(WireTicketReply.getDefaultInstance().toByteString());
        }
    }

    private static WireTicketReply replyOrEmpty(WireTicketReply reply, Throwable failure) {
        if (failure == null) {
            return reply;
        }
        log.atWarning().withCause(failure).log("failed to process ticket message; sending an empty reply");
        return WireTicketReply.getDefaultInstance();
    }

    private CompletableFuture<WireTicketReply> process(WireTicketRequest request) {
        try {
            return switch (request.getKindCase()) {
                case PRESENT -> coordinator.handlePresent(request.getPresent());
                case ANSWER_QUERY -> find(request.getAnswerQuery());
                case BIND ->
                    binder.handleBind(request.getBind())
                            .thenApply(bound ->
                                    WireTicketReply.newBuilder().setBind(bound).build());
                case OFFER -> handover(receiver.handleOffer(request.getOffer()));
                case PART -> handover(receiver.handlePart(request.getPart()));
                case KIND_NOT_SET -> CompletableFuture.completedFuture(WireTicketReply.getDefaultInstance());
            };
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static CompletableFuture<WireTicketReply> handover(WireTicketHandoverReply reply) {
        return CompletableFuture.completedFuture(
                WireTicketReply.newBuilder().setHandover(reply).build());
    }

    private CompletableFuture<WireTicketReply> find(WireAnswerQuery query) {
        TicketScope scope = new TicketScope(
                new CallerIdentity(query.getIdentity()), new RequestFingerprint(query.getFingerprint()));
        return runTable.find(query.getTicket(), scope).thenApply(TicketMessageHandler::reply);
    }

    private static WireTicketReply reply(Optional<CallResult> found) {
        WireAnswerReply.Builder answer = WireAnswerReply.newBuilder();
        found.ifPresent(result -> answer.setResult(CallCodec.encode(result)));
        return WireTicketReply.newBuilder().setAnswer(answer).build();
    }
}

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
 * Takes the messages of the topic TICKETS and replies to them.
 *
 * <p>Thread safe: decisions are posted to the control executor. A message that can't be read gets an empty reply, which
 * its sender takes for no answer.
 */
public final class TicketMessageHandler implements PeerHandler {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final KeyedRequestCoordinator coordinator;
    private final KeyBinder binder;
    private final TicketReceiver receiver;
    private final AnswerMemory memory;
    private final Executor control;

    TicketMessageHandler(
            KeyedRequestCoordinator coordinator,
            KeyBinder binder,
            TicketReceiver receiver,
            AnswerMemory memory,
            Executor control) {
        this.coordinator = coordinator;
        this.binder = binder;
        this.receiver = receiver;
        this.memory = memory;
        this.control = control;
    }

    @Override
    public void handle(PeerMessage message) {
        try {
            WireTicketRequest request = WireTicketRequest.parseFrom(message.body());
            control.execute(() -> FutureCallbacks.onEnd(
                    answer(request),
                    (reply, failure) -> message.reply(sendable(reply, failure).toByteString())));
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).log("dropped a malformed ticket message of %s", message.sender());
            message.reply(WireTicketReply.getDefaultInstance().toByteString());
        }
    }

    private static WireTicketReply sendable(WireTicketReply reply, Throwable failure) {
        if (failure == null) {
            return reply;
        }
        log.atWarning().withCause(failure).log("a ticket message failed");
        return WireTicketReply.getDefaultInstance();
    }

    private CompletableFuture<WireTicketReply> answer(WireTicketRequest request) {
        try {
            return switch (request.getKindCase()) {
                case PRESENT -> coordinator.presented(request.getPresent());
                case ANSWER_QUERY -> find(request.getAnswerQuery());
                case BIND ->
                    binder.asked(request.getBind())
                            .thenApply(bound ->
                                    WireTicketReply.newBuilder().setBind(bound).build());
                case OFFER -> handover(receiver.offered(request.getOffer()));
                case PART -> handover(receiver.received(request.getPart()));
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
        return memory.find(query.getTicket(), scope).thenApply(TicketMessageHandler::reply);
    }

    private static WireTicketReply reply(Optional<CallResult> found) {
        WireAnswerReply.Builder answer = WireAnswerReply.newBuilder();
        found.ifPresent(result -> answer.setResult(CallCodec.encode(result)));
        return WireTicketReply.newBuilder().setAnswer(answer).build();
    }
}

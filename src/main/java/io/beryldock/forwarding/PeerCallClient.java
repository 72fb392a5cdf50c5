package io.beryldock.forwarding;

import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import io.beryldock.call.CallCodec;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.call.StartNotice;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.PeerException;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.wire.WireCall;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Sends calls to the nodes of their targets. Thread safe. */
public final class PeerCallClient {

    private final PeerTransport transport;

    private PeerCallClient(PeerTransport transport) {
        this.transport = transport;
    }

    public static PeerCallClient create(PeerTransport transport) {
        return new PeerCallClient(transport);
    }

    /**
     * Sends the call once; cancelling the scope cancels it at the other node. The future never fails.
     *
     * @param notice what this node was told by answers of the node's target
     */
    CompletableFuture<CallResult> send(
            NodeDescriptor node, Call call, Optional<StartNotice> notice, CancelScope scope) {
        Duration timeout = Duration.ofNanos(call.context().remainingNanos());
        ByteString body = encode(call, notice);
        CompletableFuture<ByteString> reply = transport.request(node.peerAddress(), PeerTopic.CALL, body, timeout);
        scope.onCancel(() -> reply.cancel(false));
        return reply.handle(
                (bytes, failure) -> failure == null ? CallCodec.decode(call.id(), bytes) : classify(failure));
    }

    private static ByteString encode(Call call, Optional<StartNotice> notice) {
        WireCall wire = CallCodec.encode(call);
        return notice.map(told ->
                        wire.toBuilder().setNotice(CallCodec.encode(told)).build())
                .orElse(wire)
                .toByteString();
    }

    private static CallResult classify(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof PeerException e) {
            return switch (e.kind()) {
                case NOT_SENT -> CallResult.notRun(Reason.CONNECT_FAILED, e.getMessage());
                case LOST -> CallResult.unknown(Reason.CONNECTION_LOST, e.getMessage());
                case TIMED_OUT -> CallResult.unknown(Reason.TIMED_OUT, e.getMessage());
            };
        }
        return CallResult.unknown(Reason.CANCELLED, "the call was cancelled");
    }
}

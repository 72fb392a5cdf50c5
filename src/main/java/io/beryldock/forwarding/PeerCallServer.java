package io.beryldock.forwarding;

import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.Call;
import io.beryldock.call.CallCodec;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.peer.PeerHandler;
import io.beryldock.wire.WireCall;
import io.beryldock.wire.WireResult;

/** Handles calls from other nodes for the target in this node's VM. Thread safe. */
public final class PeerCallServer implements PeerHandler {

    private final TargetExecutor executor;

    private PeerCallServer(TargetExecutor executor) {
        this.executor = executor;
    }

    public static PeerCallServer create(TargetExecutor executor) {
        return new PeerCallServer(executor);
    }

    @Override
    public void handle(PeerMessage message) {
        WireCall wire;
        Call call;
        try {
            wire = WireCall.parseFrom(message.body());
            call = CallCodec.decode(wire);
            if (wire.hasNotice()) {
                executor.onPeerNotice(CallCodec.decode(wire.getNotice()));
            }
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            // The call id can't be read, so the sender treats this as another call's result and reports UNKNOWN.
            message.reply(WireResult.getDefaultInstance().toByteString());
            return;
        }
        CancelScope scope = CancelScope.create();
        message.onCancel(scope::cancel);
        executor.execute(call, scope).whenComplete((result, failure) -> {
            scope.close();
            CallResult ended = failure == null ? result : CallResult.unknown(Reason.INTERNAL, failure.toString());
            message.reply(CallCodec.encode(call.id(), ended).toByteString());
        });
    }
}

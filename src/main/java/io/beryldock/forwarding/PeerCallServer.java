package io.beryldock.forwarding;

import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.Call;
import io.beryldock.call.CallCodec;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.peer.PeerHandler;
import io.beryldock.wire.WireCall;
import io.beryldock.wire.WireResult;

/** Takes calls from other nodes for the target in this node's VM. Thread safe. */
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
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            // No id can be read, so the sender takes this for another call's result and says UNKNOWN.
            message.reply(WireResult.getDefaultInstance().toByteString());
            return;
        }
        CancelScope scope = CancelScope.create();
        message.onCancel(scope::cancel);
        executor.execute(call, scope).whenComplete((result, failure) -> {
            scope.close();
            CallResult told = failure == null ? result : CallResult.unknown(Reason.INTERNAL, failure.toString());
            message.reply(CallCodec.encode(call.id(), told).toByteString());
        });
    }
}

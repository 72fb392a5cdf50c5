package io.beryldock.idempotency;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.beryldock.call.Answer;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.NodeDescriptor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Values shared by the tests of keyed requests. */
final class KeyedFixtures {

    static final CallerIdentity ANN = new CallerIdentity(hash("ann"));
    static final CallerIdentity BOB = new CallerIdentity(hash("bob"));
    static final RequestFingerprint ORDER = new RequestFingerprint(hash("order"));
    static final RequestFingerprint OTHER_ORDER = new RequestFingerprint(hash("other order"));

    private KeyedFixtures() {}

    static NodeDescriptor node(String id, long incarnation) {
        InetSocketAddress address = InetSocketAddress.createUnresolved("127.0.0.1", 1);
        return new NodeDescriptor(NodeId.of(id), new Incarnation(0, incarnation), DataCentre.of("gent-a"), address);
    }

    static CallResult answer(String body) {
        return CallResult.answered(new Answer(200, Headers.empty(), ByteString.copyFromUtf8(body)));
    }

    /** An order with a key, as the attempt with the given number. */
    static Call call(String key, long attempt) {
        RequestId id = new RequestId(new Incarnation(9, 9), attempt);
        CallContext context = new CallContext(id, id, PriorityClass.of("orders", 0), 1, 0, 0, 0, 0, false);
        ServiceName service = ServiceName.of("orders");
        ByteString body = ByteString.copyFromUtf8("order");
        return new Call(
                id, Call.OUTSIDE, service, "POST", "/orders", Headers.empty(), body, false, Optional.of(key), context);
    }

    private static ByteString hash(String text) {
        byte[] bytes = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes();
        return ByteString.copyFrom(bytes, 0, CallerIdentity.BYTES);
    }
}

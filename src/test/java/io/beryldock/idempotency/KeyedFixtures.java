package io.beryldock.idempotency;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.beryldock.call.Answer;
import io.beryldock.call.CallResult;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.membership.NodeDescriptor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Values that tests of keyed requests share. */
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

    private static ByteString hash(String text) {
        byte[] bytes = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes();
        return ByteString.copyFrom(bytes, 0, CallerIdentity.BYTES);
    }
}

package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestKindTest {

    @Test
    void callsWithTheSameCallerMethodAndFirstSegmentShareAKind() {
        int kind = kind("outside", "GET", "/quotes/17");
        assertThat(kind("outside", "GET", "/quotes/18?full=1")).isEqualTo(kind);
        assertThat(kind("outside", "GET", "/quotes?all")).isEqualTo(kind);
        assertThat(kind("orders", "GET", "/quotes/17")).isNotEqualTo(kind);
        assertThat(kind("outside", "POST", "/quotes/17")).isNotEqualTo(kind);
        assertThat(kind("outside", "GET", "/panels/17")).isNotEqualTo(kind);
        assertThat(kind).isNotEqualTo(RequestKind.NONE);
    }

    private static int kind(String caller, String method, String path) {
        RequestId id = new RequestId(new Incarnation(1, 2), 3);
        CallContext context = new CallContext(id, id, PriorityClass.ofRank(1), 1, 0, 0, 0, 0, false);
        return RequestKind.of(new Call(
                id,
                ServiceName.of(caller),
                ServiceName.of("offers"),
                method,
                path,
                Headers.empty(),
                ByteString.EMPTY,
                true,
                Optional.empty(),
                context));
    }
}

package io.beryldock.routing;

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

final class CallKindTest {

    private static CallKind kind(String path) {
        RequestId id = new RequestId(new Incarnation(1, 1), 1);
        CallContext context = new CallContext(id, id, PriorityClass.ofRank(0), 1, 0, 0, 0, 0, false);
        ServiceName service = ServiceName.of("holdings");
        Call call = new Call(
                id,
                Call.OUTSIDE,
                service,
                "GET",
                path,
                Headers.empty(),
                ByteString.EMPTY,
                true,
                Optional.empty(),
                context);
        return CallKind.of(call);
    }

    @Test
    void callsWithTheSameFirstSegmentHaveTheSameKind() {
        assertThat(kind("/maps/17?full")).isEqualTo(kind("/maps/18"));
        assertThat(kind("/maps?full")).isEqualTo(kind("/maps"));
        assertThat(kind("/maps")).isNotEqualTo(kind("/orders"));
        assertThat(kind("")).isEqualTo(kind("/"));
    }
}

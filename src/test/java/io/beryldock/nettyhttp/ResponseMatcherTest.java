package io.beryldock.nettyhttp;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.ResponseMatcher.Match;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ResponseMatcherTest {

    private static final String ID = "X-Id";

    private final ResponseMatcher matcher = new ResponseMatcher();

    private static Headers named(String id) {
        return Headers.empty().with(ID, id);
    }

    private static HttpCall call(Headers headers) {
        return new HttpCall("POST", "/", headers, ByteString.EMPTY, Optional.of(EchoedId.of(ID, headers)), false);
    }

    private void exchange(String id, int status) {
        assertThat(matcher.canSend(call(named(id)))).isTrue();
        assertThat(matcher.match(call(named(id)), named(id))).isEqualTo(Match.OWN);
        matcher.onEnd(call(named(id)), status);
    }

    @Test
    void responseToAnotherCallIsForeign() {
        assertThat(matcher.match(call(named("a")), named("b"))).isEqualTo(Match.FOREIGN);
    }

    /** Guards against a refused call that is sent again where a late copy of its refusal may follow. */
    @Test
    void failedCallIsNotSentAgainOnTheConnection() {
        exchange("a", 503);
        assertThat(matcher.canSend(call(named("a")))).isFalse();
        assertThat(matcher.canSend(call(named("b")))).isTrue();
    }

    /** Guards against a record of calls that grows for as long as a connection is kept. */
    @Test
    void connectionEndsAfterManyFailedCalls() {
        for (int i = 1; i < ResponseMatcher.MAX_FAILED_IDS; i++) {
            exchange("failed-" + i, 503);
            exchange("served-" + i, 200);
        }
        assertThat(matcher.isReusable()).isTrue();
        exchange("last", 503);
        assertThat(matcher.isReusable()).isFalse();
    }

    @Test
    void callWithoutIdNeedsConnectionWithoutResponses() {
        assertThat(matcher.canSend(call(Headers.empty()))).isTrue();
        exchange("a", 200);
        assertThat(matcher.canSend(call(Headers.empty()))).isFalse();
    }

    @Test
    void callWithoutEchoedIdTakesAnyResponse() {
        HttpCall call = HttpCall.of("GET", "/", Headers.empty(), ByteString.EMPTY);
        assertThat(matcher.match(call, named("b"))).isEqualTo(Match.OWN);
        matcher.onEnd(call, 503);
        assertThat(matcher.canSend(call)).isTrue();
        assertThat(matcher.isReusable()).isTrue();
    }
}

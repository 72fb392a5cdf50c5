package io.beryldock.platform;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpAnswer;
import java.util.function.BiConsumer;

/**
 * A request at a soak target. Immutable; thread safe.
 *
 * @param uri path and query
 * @param responses sends the response on the connection of the request; called once
 */
record SoakExchange(
        String method, String uri, Headers headers, ByteString body, BiConsumer<HttpAnswer, SoakDefect> responses) {

    void answer(HttpAnswer answer, SoakDefect defect) {
        responses.accept(answer, defect);
    }
}

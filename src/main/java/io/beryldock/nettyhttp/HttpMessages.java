package io.beryldock.nettyhttp;

import io.beryldock.call.Headers;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Turns Netty's headers into the project's. Stateless. */
public final class HttpMessages {

    private HttpMessages() {}

    public static Headers headers(HttpHeaders netty) {
        List<Headers.Header> list = new ArrayList<>(netty.size());
        for (Map.Entry<String, String> header : netty) {
            list.add(new Headers.Header(header.getKey(), header.getValue()));
        }
        return Headers.of(list);
    }
}

package io.beryldock.http;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.call.Reason;
import io.beryldock.forwarding.ContextHeader;
import io.beryldock.forwarding.IncomingRequest;
import io.beryldock.forwarding.IncomingRequest.Origin;
import io.beryldock.forwarding.RequestKey;
import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/** Reads a request from a listener and enforces the size limits of its body and headers. Immutable, thread safe. */
final class RequestReader {

    private static final int MAX_KEY_LENGTH = 200;

    private final int maxBodyBytes;
    private final int maxHeaderBytes;
    private final CallerIdentifier identifier;

    RequestReader(int maxBodyBytes, int maxHeaderBytes, CallerIdentifier identifier) {
        this.maxBodyBytes = maxBodyBytes;
        this.maxHeaderBytes = maxHeaderBytes;
        this.identifier = identifier;
    }

    IncomingRequest read(HttpServletRequest servlet, Origin origin) throws RequestException, IOException {
        Headers all = headers(servlet);
        if (HeaderFilter.size(all) > maxHeaderBytes) {
            throw new RequestException(Reason.TOO_MANY_HEADERS, "the limit is " + maxHeaderBytes + " bytes");
        }
        return new IncomingRequest(
                origin,
                servlet.getMethod(),
                path(servlet),
                HeaderFilter.endToEnd(all),
                body(servlet),
                origin == Origin.TARGET ? all.first(ContextHeader.NAME) : Optional.empty(),
                key(all),
                identifier.identify(all, servlet.getRemoteAddr()));
    }

    private static Headers headers(HttpServletRequest servlet) {
        List<Headers.Header> list = new ArrayList<>();
        for (String name : Collections.list(servlet.getHeaderNames())) {
            for (String value : Collections.list(servlet.getHeaders(name))) {
                list.add(new Headers.Header(name, value));
            }
        }
        return Headers.of(list);
    }

    private static String path(HttpServletRequest servlet) {
        String query = servlet.getQueryString();
        return query == null ? servlet.getRequestURI() : servlet.getRequestURI() + "?" + query;
    }

    private ByteString body(HttpServletRequest servlet) throws RequestException, IOException {
        if (servlet.getContentLengthLong() > maxBodyBytes) {
            throw bodyTooLarge();
        }
        try (InputStream in = servlet.getInputStream()) {
            byte[] bytes = in.readNBytes(maxBodyBytes + 1);
            if (bytes.length > maxBodyBytes) {
                throw bodyTooLarge();
            }
            return ByteString.copyFrom(bytes);
        }
    }

    private RequestException bodyTooLarge() {
        return new RequestException(Reason.BODY_TOO_LARGE, "the limit is " + maxBodyBytes + " bytes");
    }

    private static Optional<RequestKey> key(Headers headers) throws RequestException {
        Optional<String> ticket = headers.first(BeryldockHeaders.TICKET);
        if (ticket.isPresent()) {
            return Optional.of(new RequestKey(RequestKey.Kind.TICKET, validated(ticket.get())));
        }
        Optional<String> key = headers.first(BeryldockHeaders.IDEMPOTENCY_KEY);
        if (key.isPresent()) {
            return Optional.of(new RequestKey(RequestKey.Kind.CALLER_KEY, validated(key.get())));
        }
        return Optional.empty();
    }

    private static String validated(String key) throws RequestException {
        if (key.isBlank() || key.length() > MAX_KEY_LENGTH) {
            throw new RequestException(Reason.BAD_REQUEST, "a key has 1 to " + MAX_KEY_LENGTH + " characters");
        }
        return key;
    }
}

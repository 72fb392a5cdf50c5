package io.beryldock.forwarding;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import java.time.Duration;
import java.util.Optional;

/**
 * A request as a listener of the node received it. Immutable.
 *
 * @param origin the kind of listener that received the request
 * @param path path and query
 * @param headers end-to-end headers, without Beryldock's own
 * @param context the value of {@code Beryldock-Context}, from a target only
 * @param key the value of {@code Beryldock-Ticket} or {@code Idempotency-Key}
 * @param identity distinguishes the caller from others: a hash of its credentials, or its address
 * @param host the host that the request names; empty when routes are not chosen by host
 * @param timeLimit how long the caller waits, if the request says so
 * @param credentials the organisation keys that the request carries, each as it was sent; they are not forwarded
 * @param parentTag the id of the run that may have made the request as an inner call, where the request's id names one
 */
public record IncomingRequest(
        Origin origin,
        String method,
        String path,
        Headers headers,
        ByteString body,
        Optional<String> context,
        Optional<RequestKey> key,
        String identity,
        String host,
        Optional<Duration> timeLimit,
        ImmutableList<String> credentials,
        Optional<String> parentTag) {

    /** Creates a request without a host, a time limit and credentials. */
    public IncomingRequest(
            Origin origin,
            String method,
            String path,
            Headers headers,
            ByteString body,
            Optional<String> context,
            Optional<RequestKey> key,
            String identity) {
        this(
                origin,
                method,
                path,
                headers,
                body,
                context,
                key,
                identity,
                "",
                Optional.empty(),
                ImmutableList.of(),
                Optional.empty());
    }

    /** Where a request comes from. */
    public enum Origin {
        CALLER,
        /** The target in the node's own VM. */
        TARGET,
        /** A listener that both callers and the target use. */
        EITHER
    }
}

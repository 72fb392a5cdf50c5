package io.beryldock.forwarding;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import java.time.Duration;
import java.util.Optional;

/**
 * A request as a listener of the node took it. Immutable.
 *
 * @param origin which listener took it
 * @param path path and query
 * @param headers end-to-end headers, without those of our own
 * @param context the value of {@code Beryldock-Context}, from a target only
 * @param key the value of {@code Beryldock-Ticket} or {@code Idempotency-Key}
 * @param identity what tells this caller from others: a hash of its credentials, or its address
 * @param host the host that the request names, empty when routes are not chosen by it
 * @param timeLimit how long its caller waits, if it says so
 * @param credentials the keys of organisations that the request names, each as it was sent; they go no further
 * @param parentTag the id of the run that may have made it as an inner call, where its own id names one
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

    /** A request whose caller names no host and no time. */
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
        /** A listener that callers and the target use alike. */
        EITHER
    }
}

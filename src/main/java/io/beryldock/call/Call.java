package io.beryldock.call;

import com.google.protobuf.ByteString;
import io.beryldock.organisation.OrganisationName;
import java.util.Objects;
import java.util.Optional;

/**
 * One request to a service, complete with its body.
 *
 * <p>Immutable.
 *
 * @param id this call, new for each attempt
 * @param caller the service whose target made the call, or {@link #OUTSIDE} for a caller beyond the listeners
 * @param path path and query, as received
 * @param idempotent whether the route says that running it again does no harm
 * @param key the ticket or the caller's own key of a non-idempotent request
 * @param identity hash of the caller of a keyed request, equal at every node; empty for any other
 * @param organisation for which a caller makes it; empty for inner calls, and where there are no organisations
 */
public record Call(
        RequestId id,
        ServiceName caller,
        ServiceName service,
        String method,
        String path,
        Headers headers,
        ByteString body,
        boolean idempotent,
        Optional<String> key,
        ByteString identity,
        CallContext context,
        Optional<OrganisationName> organisation) {

    /** Stands for callers that are not targets of ours. */
    public static final ServiceName OUTSIDE = ServiceName.of("outside");

    public Call {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(context, "context");
    }

    /** A call without the identity of its caller. */
    public Call(
            RequestId id,
            ServiceName caller,
            ServiceName service,
            String method,
            String path,
            Headers headers,
            ByteString body,
            boolean idempotent,
            Optional<String> key,
            CallContext context) {
        this(
                id,
                caller,
                service,
                method,
                path,
                headers,
                body,
                idempotent,
                key,
                ByteString.EMPTY,
                context,
                Optional.empty());
    }

    /** The same request, made for the organisation. */
    public Call forOrganisation(Optional<OrganisationName> name) {
        return new Call(id, caller, service, method, path, headers, body, idempotent, key, identity, context, name);
    }

    /** The same request, made by the caller with that identity. */
    public Call withIdentity(ByteString hash) {
        return new Call(id, caller, service, method, path, headers, body, idempotent, key, hash, context, organisation);
    }

    /** The same request as another attempt. */
    public Call attempt(RequestId attemptId, CallContext attemptContext) {
        return new Call(
                attemptId,
                caller,
                service,
                method,
                path,
                headers,
                body,
                idempotent,
                key,
                identity,
                attemptContext,
                organisation);
    }

    /** The same request under another key. */
    public Call withKey(String other) {
        return new Call(id, caller, service, method, path, headers, body, idempotent, Optional.of(other), context)
                .forOrganisation(organisation);
    }
}

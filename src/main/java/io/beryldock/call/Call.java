package io.beryldock.call;

import com.google.protobuf.ByteString;
import io.beryldock.organisation.OrganisationName;
import java.util.Objects;
import java.util.Optional;

/**
 * A request to a service, including its complete body.
 *
 * <p>Immutable.
 *
 * @param id identifier of this call, new for each attempt
 * @param caller the service whose target made the call, or {@link #OUTSIDE} for an external caller
 * @param path path and query, as received
 * @param idempotent whether the route declares that the request may safely run more than once
 * @param key the ticket or the caller's own key of a non-idempotent request
 * @param identity hash of the caller of a keyed request, equal at every node; empty for other requests
 * @param organisation organisation on whose behalf the call is made; empty for inner calls and if no organisations are
 *     configured
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

    /** Caller of requests that do not come from a target of this deployment. */
    public static final ServiceName OUTSIDE = ServiceName.of("outside");

    public Call {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(context, "context");
    }

    /** Creates a call without caller identity and organisation. */
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

    /** Returns a copy of this call for the organisation. */
    public Call forOrganisation(Optional<OrganisationName> name) {
        return new Call(id, caller, service, method, path, headers, body, idempotent, key, identity, context, name);
    }

    /** Returns a copy of this call with the caller identity. */
    public Call withIdentity(ByteString hash) {
        return new Call(id, caller, service, method, path, headers, body, idempotent, key, hash, context, organisation);
    }

    /** Returns a copy of this call as another attempt. */
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

    /** Returns a copy of this call with another key and without caller identity. */
    public Call withKey(String other) {
        return new Call(id, caller, service, method, path, headers, body, idempotent, Optional.of(other), context)
                .forOrganisation(organisation);
    }
}

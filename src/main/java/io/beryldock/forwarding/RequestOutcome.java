package io.beryldock.forwarding;

import io.beryldock.call.CallResult;
import io.beryldock.call.RequestId;

/** The result of a request, and the id under which the {@code why} command finds the request. Immutable. */
public record RequestOutcome(RequestId root, CallResult result) {}

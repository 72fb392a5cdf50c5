package io.beryldock.forwarding;

import io.beryldock.call.CallResult;
import io.beryldock.call.RequestId;

/** The result of a request and the id under which {@code why} finds it. Immutable. */
public record RequestOutcome(RequestId root, CallResult result) {}

package io.beryldock.timeline;

import io.beryldock.call.Reason;

/**
 * How many requests were refused alike.
 *
 * <p>Immutable. A name is {@link RefusalCounter#OTHERS} where too many kinds were counted to tell them apart.
 */
public record RefusalCount(Reason reason, String priorityClass, String service, String caller, long count) {}

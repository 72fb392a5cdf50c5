package io.beryldock.timeline;

import io.beryldock.call.Reason;

/**
 * Number of requests refused with the same reason, priority class, service and caller.
 *
 * <p>Immutable. The names are {@link RefusalCounter#OTHERS} for refusals beyond the number of combinations that are
 * counted separately.
 */
public record RefusalCount(Reason reason, String priorityClass, String service, String caller, long count) {}

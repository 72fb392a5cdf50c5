package io.beryldock.membership;

import io.beryldock.call.ServiceName;

/**
 * A target as its own node announces it to all others. Immutable.
 *
 * @param node the node in the target's VM; the target is reached through it only
 * @param slots requests that the target can run at once, as it announced
 * @param state what the target said last
 * @param revision rises with each change of the record within the node's incarnation
 */
public record TargetRecord(NodeDescriptor node, ServiceName service, int slots, TargetState state, long revision) {}

package io.beryldock.membership;

import io.beryldock.call.ServiceName;

/**
 * A target as announced by its own node to all others. Immutable.
 *
 * @param node the node in the VM of the target, through which alone the target is reached
 * @param slots number of requests that the target can run concurrently, as announced
 * @param state the state that the target announced last
 * @param revision increases with each change of the record within an incarnation of the node
 */
public record TargetRecord(NodeDescriptor node, ServiceName service, int slots, TargetState state, long revision) {}

/**
 * Admission control: the gate of each target and the shedding of requests at their entry node.
 *
 * <p>{@link io.beryldock.admission.TargetGate} decides at the node of a target which request runs now, is queued or is
 * refused. {@link io.beryldock.admission.EntryShedder} decides at the entry node whether a request is worth starting,
 * based on the admission levels that answers carry. Both are independent of HTTP, Netty and Guice.
 */
package io.beryldock.admission;

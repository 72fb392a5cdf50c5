/**
 * Admission control: the gate before each target and the shedding of requests at their entry.
 *
 * <p>{@link io.beryldock.admission.TargetGate} decides at the node of a target which request runs now, waits or is
 * refused. {@link io.beryldock.admission.DoorShedder} decides at the entry whether a request is worth starting, from
 * the admission levels that answers carry. Both are free of HTTP, Netty and Guice.
 */
package io.beryldock.admission;

/**
 * Credits for whole trees of calls: the capacity of a scarce service's gates in the next moments is granted, in slot
 * time, to the entry nodes at which requests begin, so that no tree is started that cannot be finished.
 *
 * <p>In each data centre one node, the home node of the service, receives the reports of the gates and the claims of
 * the entry nodes, and divides the capacity in rounds. Without credits, admission levels decide.
 */
package io.beryldock.credit;

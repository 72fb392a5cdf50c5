/** Overload control layer for service call graphs: one node in each target's VM. */
package io.beryldock;

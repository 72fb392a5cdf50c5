/**
 * Queueing of callers' requests at their entry node, before any work is done for them, until capacity for their whole
 * call tree is available.
 */
package io.beryldock.waiting;

/**
 * At-most-once execution of keyed requests: tickets and the tables of their homes, the binding of callers' own keys to
 * tickets in the platform store, and the record of keyed requests at the targets' nodes.
 *
 * <p>NOT_RUN is reported for a ticket or key only after it has been closed by the node that owns it, so that no copy of
 * the request still in transit can run later.
 */
package io.beryldock.idempotency;

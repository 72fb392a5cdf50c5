/**
 * At most once: tickets and their home's memory, callers' own keys bound to tickets in the platform store, what a
 * target's node remembers of keyed requests, and which outcome may be told when.
 *
 * <p>NOT_RUN is told about a ticket or key only after it was closed where decisions over it are made, so that no copy
 * of the request still under way can run later.
 */
package io.beryldock.idempotency;

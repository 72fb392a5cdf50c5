/**
 * Requests of callers that wait at their entry, before any work is spent on them, until there is room for all that they
 * need.
 */
package io.beryldock.waiting;

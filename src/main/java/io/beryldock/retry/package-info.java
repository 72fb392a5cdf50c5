/**
 * Limits the retries that one user-visible request may cause and decides which calls are retried: the retry allowance
 * shared by a call tree, the retry budget of a service, the back-off and the retry decision. Free of HTTP, Netty and
 * Guice.
 */
package io.beryldock.retry;

/**
 * How much retrying one user-visible request may cause, and which calls are retried: the conserved allowance of a
 * call tree, the budget of a pair of services, the backoff and the decision itself. Free of HTTP, Netty and Guice.
 */
package io.beryldock.retry;

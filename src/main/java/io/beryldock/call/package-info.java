/**
 * Values that accompany a request: identifiers, priority class, context, the call itself and its typed result.
 *
 * <p>Every type in this package is immutable and independent of HTTP, Netty and Guice, so that decisions can be tested
 * in isolation.
 */
package io.beryldock.call;

/**
 * Values of a request on its way: identifiers, priority class, context, the call itself and its typed result.
 *
 * <p>Every type here is immutable and free of HTTP, Netty and Guice, so that decisions can be tested alone.
 */
package io.beryldock.call;

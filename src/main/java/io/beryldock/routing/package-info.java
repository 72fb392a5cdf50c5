/**
 * Choice of the target for a call: prefers the local data centre, compares two random targets by recent load and ejects
 * unhealthy targets. Free of HTTP, Netty and Guice.
 */
package io.beryldock.routing;

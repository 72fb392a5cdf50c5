/**
 * Requests that crash targets: what was in flight at a crash is suspect and runs alone, what crashes a second target is
 * refused for a time at every node. Free of HTTP, Netty and Guice.
 */
package io.beryldock.quarantine;

/**
 * Quarantine of requests that crash targets: a request in flight at a crash becomes a suspect and runs alone; a request
 * that crashes a second target is refused at every node for a time. Free of HTTP, Netty and Guice.
 */
package io.beryldock.quarantine;

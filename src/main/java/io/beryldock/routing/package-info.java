/**
 * Which target a call goes to: own data centre first, two random choices by fresh load, sick targets left out. Free of
 * HTTP, Netty and Guice.
 */
package io.beryldock.routing;

package io.beryldock.nettyhttp;

import java.time.Duration;

/**
 * What a client may send to a listener and how long it may take. Immutable.
 *
 * @param maxHeaderBytes largest sum of a request's headers; over it the answer is 431
 * @param maxBodyBytes largest body; over it the answer is 413
 * @param requestTimeout longest time from the first byte of a request to its last; over it the answer is 408
 * @param idleTimeout how long a connection may stay without a request before it is closed
 */
public record HttpServerLimits(int maxHeaderBytes, int maxBodyBytes, Duration requestTimeout, Duration idleTimeout) {}

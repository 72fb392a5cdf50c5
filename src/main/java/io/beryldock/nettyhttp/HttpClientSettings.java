package io.beryldock.nettyhttp;

import java.time.Duration;

/**
 * Bounds of a client. Immutable.
 *
 * @param connectTimeout longest wait for a connection
 * @param maxIdle how long an unused connection may be used again; below the idle timeout of any server called
 * @param maxIdleFresh the same for calls that ask for a fresh connection
 * @param maxBodyBytes largest response body that is taken
 */
public record HttpClientSettings(Duration connectTimeout, Duration maxIdle, Duration maxIdleFresh, int maxBodyBytes) {}

package io.beryldock.configuration;

import io.beryldock.call.ServiceName;

/**
 * A service that gets part of a route's requests, in proportion to its weight. Immutable; a weight of 0 gets no
 * requests.
 */
public record WeightedService(ServiceName service, double weight) {}

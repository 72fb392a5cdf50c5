package io.beryldock.configuration;

import io.beryldock.call.ServiceName;

/** One part of a route's requests. Immutable; a weight of 0 gets none. */
public record WeightedService(ServiceName service, double weight) {}

package io.beryldock.node;

import com.codahale.metrics.health.HealthCheck;

/** Tells callers' load balancers whether to send requests here. Thread safe. */
public final class NodeHealth extends HealthCheck {

    private volatile boolean stopping;

    void stopping() {
        stopping = true;
    }

    public boolean isStopping() {
        return stopping;
    }

    @Override
    protected Result check() {
        return stopping ? Result.unhealthy("the node is stopping; send requests to another one") : Result.healthy();
    }
}

package io.beryldock.node;

import com.codahale.metrics.health.HealthCheck;

/** Health check that shows load balancers whether this node accepts requests. Thread safe. */
public final class NodeHealth extends HealthCheck {

    private volatile boolean stopping;

    void markStopping() {
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

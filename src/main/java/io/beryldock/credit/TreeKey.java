package io.beryldock.credit;

import io.beryldock.call.ServiceName;
import java.util.Objects;

/**
 * Requests whose trees of calls are alike: those of one route that begin at one service. Immutable.
 *
 * @param route host and prefix of the route
 */
public record TreeKey(String route, ServiceName service) {

    public TreeKey {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
    }

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
    @Override
    public boolean equals(Object other) {
        return other instanceof TreeKey that && service.equals(that.service) && route.equals(that.route);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + route.hashCode();
    }
}

package io.beryldock.credit;

import io.beryldock.call.ServiceName;
import java.util.Objects;

/**
 * Kind of call tree: requests of one route that begin at one service have similar trees. Immutable.
 *
 * @param route host and prefix of the route
 */
public record TreeKey(String route, ServiceName service) {

    public TreeKey {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
    }

    // Handwritten: the C1 compiler, which nodes use, does not inline the generated equals of records (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof TreeKey that && service.equals(that.service) && route.equals(that.route);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + route.hashCode();
    }
}

package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.Optional;

/**
 * Changes something: the operators' configuration, or whether a target takes new work.
 *
 * <p>Every kind is immutable.
 */
public sealed interface ChangeStatement extends Statement {

    /** A change of the operators' configuration, kept in the platform store. */
    sealed interface OfConfiguration extends ChangeStatement {}

    /** A change of one target, carried out by its own node. */
    sealed interface OfTarget extends ChangeStatement {

        /** The node in the target's VM. */
        NodeId node();
    }

    /** Creates a class of importance or gives it another priority, 0 (shed last) to 7 (shed first). */
    record SetClass(String name, int priority) implements OfConfiguration {
        @Override
        public String text() {
            return "set class " + name + " priority " + priority;
        }
    }

    /**
     * Sets how much retrying is allowed to the requests of a class.
     *
     * @param sharePercent retries between two services as a share of first tries, in percent; kept when absent
     * @param retries retries over the whole tree of one root request; kept when absent
     */
    record SetBudget(String name, Optional<Integer> sharePercent, Optional<Integer> retries)
            implements OfConfiguration {
        @Override
        public String text() {
            String share =
                    sharePercent.map(percent -> " share " + percent + "%").orElse("");
            return "set budget " + name + share
                    + retries.map(n -> " retries " + n).orElse("");
        }
    }

    /** Bounds the requests that one target of the service runs at once. */
    record SetLimit(ServiceName service, int slots) implements OfConfiguration {
        @Override
        public String text() {
            return "set limit " + service + " slots " + slots;
        }
    }

    /**
     * Sends requests whose path has the prefix to a service.
     *
     * @param methods the methods it is for; every method when empty
     * @param priorityClass name of the class
     * @param idempotent whether running a request again does no harm; as the method says when absent
     * @param deadline time allowed to a request; the default when absent
     */
    record SetRoute(
            String prefix,
            ImmutableList<String> methods,
            ServiceName service,
            String priorityClass,
            Optional<Boolean> idempotent,
            Optional<Duration> deadline)
            implements OfConfiguration {
        @Override
        public String text() {
            String of = methods.isEmpty() ? "" : " methods " + String.join(",", methods);
            String mark = idempotent.map(ChangeStatement::markText).orElse("");
            String time = deadline.map(length -> " deadline " + Durations.format(length))
                    .orElse("");
            return "set route " + prefix + of + " service " + service + " class " + priorityClass + mark + time;
        }
    }

    /** Removes the route of that prefix. */
    record RemoveRoute(String prefix) implements OfConfiguration {
        @Override
        public String text() {
            return "remove route " + prefix;
        }
    }

    /** Says of the route of that prefix whether running a request again does no harm. */
    record MarkRoute(String prefix, boolean idempotent) implements OfConfiguration {
        @Override
        public String text() {
            return "mark route " + prefix + markText(idempotent);
        }
    }

    /** Lets a target take no new work; what is in flight finishes. */
    record DrainTarget(NodeId node) implements OfTarget {
        @Override
        public String text() {
            return "drain target " + node;
        }
    }

    /** Lets a drained target take new work again. */
    record UndrainTarget(NodeId node) implements OfTarget {
        @Override
        public String text() {
            return "undrain target " + node;
        }
    }

    private static String markText(boolean idempotent) {
        return idempotent ? " idempotent" : " non-idempotent";
    }
}

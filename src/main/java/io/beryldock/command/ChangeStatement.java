package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.math.BigDecimal;
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
     * Sets how much retrying a budget allows.
     *
     * @param share retries between two services as a share of first tries, 0 to 1; kept when absent
     * @param retries retries over the whole tree of one root request; kept when absent
     */
    record SetBudget(String name, Optional<Double> share, Optional<Integer> retries) implements OfConfiguration {
        @Override
        public String text() {
            return "set budget " + name + share.map(ChangeStatement::shareText).orElse("")
                    + retries.map(number -> " retries " + number).orElse("");
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
     * @param idempotent whether running a request again does no harm
     * @param deadline time allowed to a root request
     * @param budget name of the retry budget
     */
    record SetRoute(
            String prefix,
            ImmutableList<String> methods,
            ServiceName service,
            String priorityClass,
            Optional<Boolean> idempotent,
            Optional<Duration> deadline,
            Optional<String> budget)
            implements OfConfiguration {
        @Override
        public String text() {
            return "set " + routeText(prefix, methods) + " service " + service + " class " + priorityClass
                    + idempotent.map(ChangeStatement::markText).orElse("")
                    + deadline.map(ChangeStatement::deadlineText).orElse("")
                    + budget.map(name -> " budget " + name).orElse("");
        }
    }

    /** Sets the time allowed to the root requests of a route that is there. */
    record SetDeadline(String prefix, ImmutableList<String> methods, Duration deadline) implements OfConfiguration {
        @Override
        public String text() {
            return "set " + routeText(prefix, methods) + deadlineText(deadline);
        }
    }

    /** Removes the route of that prefix and those methods. */
    record RemoveRoute(String prefix, ImmutableList<String> methods) implements OfConfiguration {
        @Override
        public String text() {
            return "remove " + routeText(prefix, methods);
        }
    }

    /** Says of the route of that prefix and those methods whether running a request again does no harm. */
    record MarkRoute(String prefix, ImmutableList<String> methods, boolean idempotent) implements OfConfiguration {
        @Override
        public String text() {
            return "mark " + routeText(prefix, methods) + markText(idempotent);
        }
    }

    /** Gives the platform store back what the node has, when the store has lost accepted changes. */
    record RestoreConfiguration() implements OfConfiguration {
        @Override
        public String text() {
            return "restore configuration";
        }
    }

    /** Makes a change only if nobody has changed the same setting since that version. */
    record BasedOn(OfConfiguration change, long version) implements OfConfiguration {
        @Override
        public String text() {
            return change.text() + " based on version " + version;
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

    private static String routeText(String prefix, ImmutableList<String> methods) {
        return "route " + prefix + (methods.isEmpty() ? "" : " methods " + String.join(",", methods));
    }

    private static String markText(boolean idempotent) {
        return idempotent ? " idempotent" : " non-idempotent";
    }

    private static String deadlineText(Duration length) {
        return " deadline " + Durations.format(length);
    }

    private static String shareText(double share) {
        BigDecimal percent = BigDecimal.valueOf(share).movePointRight(2).stripTrailingZeros();
        return " share " + percent.toPlainString() + "%";
    }
}

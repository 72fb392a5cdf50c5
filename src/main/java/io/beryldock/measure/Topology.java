package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import io.beryldock.standin.StandinTargetSettings.Distribution;
import io.beryldock.standin.StandinTargetSettings.InnerCall;
import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;

/**
 * The services of a deployment and who calls them, from a JSON resource. Immutable.
 *
 * @param deployment name of the nodes' default routes and classes
 * @param users number of callers with credentials of their own
 */
record Topology(
        @NotNull String deployment,
        @NotEmpty ImmutableList<String> dataCentres,
        @NotEmpty ImmutableList<@Valid Service> services,
        @NotEmpty ImmutableList<@Valid CallerClass> callers,
        @Min(1) int users) {

    /** A service with its instances, spread evenly over the data centres. Immutable. */
    record Service(
            @NotNull String name,
            @Min(1) int instances,
            @Min(1) int slots,
            @DecimalMin("0") double millis,
            Distribution distribution,
            ImmutableList<@Valid InnerCall> innerCalls) {

        Service {
            distribution = distribution == null ? Distribution.EXPONENTIAL : distribution;
            innerCalls = innerCalls == null ? ImmutableList.of() : innerCalls;
        }
    }

    /**
     * Callers that ask for one kind of thing. Immutable.
     *
     * @param name of the priority class that the deployment's routes give these requests
     * @param perSecond requests asked a second before any factor of the scenario
     */
    record CallerClass(
            @NotNull String name,
            @NotNull String method,
            @NotNull String path,
            @DecimalMin("0") double perSecond,
            KeyKind key) {

        CallerClass {
            key = key == null ? KeyKind.NONE : key;
        }

        boolean repeatable() {
            return key != KeyKind.NONE || method.equals("GET");
        }
    }

    /** What makes a request of callers run at most once. */
    enum KeyKind {
        /** Nothing; fit for reads. */
        NONE,
        /** A ticket taken from the node before. */
        TICKET,
        /** An Idempotency-Key of the caller's own. */
        CALLER_KEY
    }
}

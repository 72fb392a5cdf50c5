package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.time.Duration;

/**
 * What happens in a measurement, from a JSON resource. Immutable.
 *
 * <p>Points in time are shares of the whole run, 0 to 1, so that a run of any length has the same shape.
 *
 * @param warmUpSeconds usual demand before the run, not counted: the program is compiled and limits are learned in it
 * @param cause the span in which something is wrong; recovery is measured from its end
 * @param load by how much the callers' rates are multiplied and when, 1 elsewhere
 */
record Scenario(
        @NotNull String name,
        @NotNull String about,
        @NotNull String topology,
        @Min(0) int warmUpSeconds,
        @Min(1) int seconds,
        @NotNull @Valid Span cause,
        @NotNull ImmutableList<@Valid LoadStep> load,
        @NotNull @Valid Patience patience,
        @NotNull ImmutableList<@Valid Fault> faults) {

    Scenario {
        load = load == null ? ImmutableList.of() : load;
        faults = faults == null ? ImmutableList.of() : faults;
    }

    Scenario withSeconds(int length) {
        return new Scenario(name, about, topology, warmUpSeconds, length, cause, load, patience, faults);
    }

    /** The usual demand for the time of the warm-up, with nothing wrong. */
    Scenario warmUp() {
        return new Scenario(
                name, about, topology, 0, warmUpSeconds, cause, ImmutableList.of(), patience, ImmutableList.of());
    }

    Duration length() {
        return Duration.ofSeconds(seconds);
    }

    /** Factor of the callers' rates at that share of the run. */
    double loadFactor(double share) {
        return load.stream()
                .filter(step -> step.span().contains(share))
                .mapToDouble(LoadStep::factor)
                .reduce(1, (left, right) -> left * right);
    }

    /** By how much the service's work takes longer at that share of the run. */
    double slowFactor(String service, double share) {
        return faults.stream()
                .filter(fault -> fault.kind() == FaultKind.SLOW && service.equals(fault.service()))
                .filter(fault -> fault.span().contains(share))
                .mapToDouble(Fault::factor)
                .reduce(1, (left, right) -> left * right);
    }

    /** From one point in time to another. Immutable. */
    record Span(
            @DecimalMin("0") @DecimalMax("1") double from,
            @DecimalMin("0") @DecimalMax("1") double until) {

        boolean contains(double share) {
            return share >= from && share < until;
        }
    }

    /** A factor of the load over a span. Immutable. */
    record LoadStep(
            @NotNull @Valid Span span, @DecimalMin("0") double factor) {}

    /**
     * How callers behave when there is no good answer. Immutable.
     *
     * @param millis time after which a caller gives an attempt up and hangs up
     * @param resends attempts after the first, for requests that may be repeated
     * @param resendMillis wait before an attempt after a refusal, unless Retry-After says more and is heeded
     * @param heedsRetryAfter whether the caller waits as long as Retry-After says
     */
    record Patience(
            @Min(1) int millis, @Min(0) int resends, @Min(0) int resendMillis, boolean heedsRetryAfter) {}

    /** Kinds of faults. */
    enum FaultKind {
        /** The work of a service's targets takes longer by the factor. */
        SLOW,
        /** Requests of the marked kind crash each target of the service that runs them; it restarts after a while. */
        CRASH,
        /** The connections open to the service's targets go silent for good at the span's beginning. */
        SILENCE,
        /** The platform store can't be reached. */
        STORE_DOWN,
        /** Each call of the platform store takes {@code factor} milliseconds. */
        STORE_SLOW
    }

    /**
     * Something that goes wrong over a span. Immutable.
     *
     * @param perSecond crashing requests asked a second
     */
    record Fault(
            @NotNull FaultKind kind,
            String service,
            @NotNull @Valid Span span,
            double factor,
            double perSecond) {}
}

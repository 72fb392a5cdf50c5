package io.beryldock.standin;

import com.google.common.collect.ImmutableList;
import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Settings of a stand-in target, from its JSON file. Immutable.
 *
 * <p>Example: {@code {"port":9101,"service":"lists","slots":50,"node":"http://127.0.0.1:8101",
 * "serviceTime":{"distribution":"EXPONENTIAL","millis":4},
 * "innerCalls":[{"prefix":"/lists","method":"GET","path":"/catalogue/titles"}]}}.
 *
 * @param address IP number to listen on and to announce
 * @param port port to listen on, 0 for any free one
 * @param service name of the service that it announces
 * @param slots requests that it runs at once
 * @param queue requests that wait for a slot before it refuses more
 * @param node address of its node's loopback listener; without it, nothing is announced and there are no inner calls
 * @param announceMillis time between two announcements
 * @param startMillis time for which it announces that it is starting
 * @param coldMillis time after that in which its work takes longer, falling evenly to the usual time
 * @param serviceTime time that a request's own work takes
 * @param seed of the service times and of the chance in its faults
 * @param innerCalls the calls that a request of a path prefix makes, one after the other, once its own work is done
 * @param acceptsDeadlines whether it refuses waiting work whose time is over, and ends work whose caller hung up
 * @param runLogFile file to which each run is appended as a JSON line before it begins
 */
public record StandinTargetSettings(
        @NotNull @Pattern(regexp = "[0-9.]+", message = "is an IP number")
        String address,

        @Min(0) @Max(StandinTargetSettings.MAX_PORT) int port,

        @NotNull @Pattern(regexp = "[A-Za-z0-9._-]{1,100}", message = "has 1 to 100 letters, digits, dots or dashes")
        String service,

        @Min(1) int slots,
        @Min(0) int queue,

        @Pattern(regexp = "http://[0-9.]+:[0-9]{1,5}", message = "is http://IP:PORT")
        String node,

        @Min(1) int announceMillis,
        @Min(0) int startMillis,
        @Min(0) int coldMillis,
        @NotNull @Valid ServiceTime serviceTime,
        long seed,
        @NotNull ImmutableList<@Valid InnerCall> innerCalls,
        Boolean acceptsDeadlines,
        String runLogFile) {

    static final int MAX_PORT = 65535;
    private static final String LOOPBACK = "127.0.0.1";
    private static final int DEFAULT_QUEUE = 200;
    private static final int DEFAULT_ANNOUNCE_MILLIS = 1000;

    public StandinTargetSettings {
        address = address == null ? LOOPBACK : address;
        queue = queue == 0 ? DEFAULT_QUEUE : queue;
        announceMillis = announceMillis == 0 ? DEFAULT_ANNOUNCE_MILLIS : announceMillis;
        innerCalls = innerCalls == null ? ImmutableList.of() : innerCalls;
        acceptsDeadlines = acceptsDeadlines == null || acceptsDeadlines;
    }

    /** A target of the service with this many slots, on any free port and without a node; the rest as by default. */
    public static StandinTargetSettings of(String service, int slots, ServiceTime time) {
        return new StandinTargetSettings(
                null, 0, service, slots, 0, null, 0, 0, 0, time, 0, ImmutableList.of(), true, null);
    }

    public StandinTargetSettings withPort(int number) {
        return new StandinTargetSettings(
                address,
                number,
                service,
                slots,
                queue,
                node,
                announceMillis,
                startMillis,
                coldMillis,
                serviceTime,
                seed,
                innerCalls,
                acceptsDeadlines,
                runLogFile);
    }

    public StandinTargetSettings withQueue(int length) {
        return new StandinTargetSettings(
                address,
                port,
                service,
                slots,
                length,
                node,
                announceMillis,
                startMillis,
                coldMillis,
                serviceTime,
                seed,
                innerCalls,
                acceptsDeadlines,
                runLogFile);
    }

    /** The same target beside the node with this loopback listener, {@code http://IP:PORT}. */
    public StandinTargetSettings withNode(String url) {
        return new StandinTargetSettings(
                address,
                port,
                service,
                slots,
                queue,
                url,
                announceMillis,
                startMillis,
                coldMillis,
                serviceTime,
                seed,
                innerCalls,
                acceptsDeadlines,
                runLogFile);
    }

    public StandinTargetSettings withAnnounceMillis(int millis) {
        return new StandinTargetSettings(
                address,
                port,
                service,
                slots,
                queue,
                node,
                millis,
                startMillis,
                coldMillis,
                serviceTime,
                seed,
                innerCalls,
                acceptsDeadlines,
                runLogFile);
    }

    public StandinTargetSettings withColdMillis(int millis) {
        return new StandinTargetSettings(
                address,
                port,
                service,
                slots,
                queue,
                node,
                announceMillis,
                startMillis,
                millis,
                serviceTime,
                seed,
                innerCalls,
                acceptsDeadlines,
                runLogFile);
    }

    public StandinTargetSettings withSeed(long value) {
        return new StandinTargetSettings(
                address,
                port,
                service,
                slots,
                queue,
                node,
                announceMillis,
                startMillis,
                coldMillis,
                serviceTime,
                value,
                innerCalls,
                acceptsDeadlines,
                runLogFile);
    }

    public StandinTargetSettings withInnerCalls(ImmutableList<InnerCall> calls) {
        return new StandinTargetSettings(
                address,
                port,
                service,
                slots,
                queue,
                node,
                announceMillis,
                startMillis,
                coldMillis,
                serviceTime,
                seed,
                calls,
                acceptsDeadlines,
                runLogFile);
    }

    public StandinTargetSettings withAcceptsDeadlines(boolean accepts) {
        return new StandinTargetSettings(
                address,
                port,
                service,
                slots,
                queue,
                node,
                announceMillis,
                startMillis,
                coldMillis,
                serviceTime,
                seed,
                innerCalls,
                accepts,
                runLogFile);
    }

    /** How long a request's own work takes, in milliseconds at the mean. Immutable. */
    public record ServiceTime(
            @NotNull Distribution distribution,
            @DecimalMin("0") double millis) {

        public static ServiceTime fixed(double millis) {
            return new ServiceTime(Distribution.FIXED, millis);
        }

        public static ServiceTime exponential(double millis) {
            return new ServiceTime(Distribution.EXPONENTIAL, millis);
        }
    }

    /** Shapes of the service time. */
    public enum Distribution {
        FIXED,
        EXPONENTIAL
    }

    /**
     * A call that requests below a path prefix make through their node. Immutable.
     *
     * @param prefix of the outer request's path
     * @param on method of the outer request, any when left out
     * @param method of the inner call
     * @param path of the inner call
     */
    public record InnerCall(
            @NotNull String prefix,
            String on,
            @NotNull String method,

            @NotNull @Pattern(regexp = "/[^?]*", message = "begins with a slash and has no query")
            String path) {

        boolean isMadeBy(String outerMethod, String outerPath) {
            return (on == null || on.equals(outerMethod)) && outerPath.startsWith(prefix);
        }
    }
}

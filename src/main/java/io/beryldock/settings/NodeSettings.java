package io.beryldock.settings;

import com.google.common.collect.ImmutableList;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import java.util.Optional;

/**
 * Settings of a node, read from its JSON file. Immutable.
 *
 * <p>Example: see {@code docs/examples/node-gent-a.json}.
 *
 * @param id name of the node, unique in the deployment
 * @param dataCentre name of its data centre
 * @param deployment set of default routes and classes: vandermeulen, karri-ember or none
 * @param callers listener for callers
 * @param loopback listener for the inner calls and announcements of the target in the same VM
 * @param peers listener for other nodes
 * @param admin listener for health, metrics and operators
 * @param seeds peer addresses, IP:PORT, through which the node finds the other nodes
 * @param platform the platform store; without it, keys and configuration changes are refused
 * @param policy how the node handles overload
 * @param limits sizes and times
 */
public record NodeSettings(
        @NotNull @Pattern(regexp = NAME, message = "has 1 to 100 letters, digits, dots, dashes or underscores")
        String id,

        @NotNull @Pattern(regexp = NAME, message = "has 1 to 100 letters, digits, dots, dashes or underscores")
        String dataCentre,

        @NotNull @Pattern(regexp = "vandermeulen|karri-ember|none", message = "is vandermeulen, karri-ember or none")
        String deployment,

        @NotNull @Valid Listener callers,
        @NotNull @Valid Listener loopback,
        @NotNull @Valid Peers peers,
        @NotNull @Valid Admin admin,
        @NotNull ImmutableList<@Pattern(regexp = ADDRESS, message = "is IP:PORT") String> seeds,
        @Valid Platform platform,
        @NotNull Policy policy,
        @NotNull @Valid Limits limits) {

    static final String NAME = "[A-Za-z0-9._-]{1,100}";
    static final String ADDRESS = "[0-9.]+:[0-9]{1,5}";
    private static final int MAX_PORT = 65535;

    public NodeSettings {
        deployment = deployment == null ? "none" : deployment;
        seeds = seeds == null ? ImmutableList.of() : seeds;
        policy = policy == null ? Policy.FULL : policy;
        limits = limits == null ? Limits.defaults() : limits;
    }

    /** Address on which a listener accepts connections; with port 0 the system assigns a free port. */
    public record Listener(
            @NotNull @Pattern(regexp = "[0-9.]+", message = "is an IP number")
            String address,

            @Min(0) @Max(MAX_PORT) int port) {

        private static final String LOOPBACK = "127.0.0.1";

        public Listener {
            address = address == null ? LOOPBACK : address;
        }
    }

    /**
     * The listener for other nodes and the authentication between nodes; either {@code tls} or {@code insecure} must be
     * set.
     *
     * @param advertisedPort port at which other nodes reach the listener through a forwarder; null if it is the port
     *     itself
     */
    public record Peers(
            @NotNull @Pattern(regexp = "[0-9.]+", message = "is an IP number")
            String address,

            @Min(0) @Max(MAX_PORT) int port,
            @Valid Tls tls,
            boolean insecure,
            @Min(1) @Max(MAX_PORT) Integer advertisedPort) {

        /** Creates a listener that other nodes reach without a forwarder. */
        public Peers(String address, int port, Tls tls, boolean insecure) {
            this(address, port, tls, insecure, null);
        }
    }

    /** Files in PEM format, which are read again when they change. */
    public record Tls(
            @NotNull String certificateFile,
            @NotNull String keyFile,
            @NotNull String trustFile) {}

    /** The operators' listener; without a token file it serves health and metrics only. */
    public record Admin(
            @NotNull @Pattern(regexp = "[0-9.]+", message = "is an IP number")
            String address,

            @Min(0) @Max(MAX_PORT) int port,
            String tokenFile) {

        public Optional<String> token() {
            return Optional.ofNullable(tokenFile);
        }
    }

    /** Address of the platform store. */
    public record Platform(
            @NotNull @Pattern(regexp = "http://" + ADDRESS, message = "is http://IP:PORT")
            String url) {}

    /** How the node handles overload. */
    public enum Policy {
        /** All mechanisms of overload control. */
        FULL,
        /**
         * The baseline for measurements: fixed concurrency, three tries at each layer, no shared retry budget, no load
         * shedding at the entry node.
         */
        NONE
    }

    /**
     * Sizes and times.
     *
     * @param maxBodyBytes largest body accepted from a caller or a target
     * @param maxHeaderBytes largest total size of header names and values
     * @param connectionsToTarget maximum number of connections to the target
     * @param announcementSeconds time after which a target that has stopped announcing itself is withdrawn
     * @param drainSeconds maximum wait for requests in flight at a planned stop
     */
    public record Limits(
            @Min(1) int maxBodyBytes,
            @Min(1) int maxHeaderBytes,
            @Min(1) int connectionsToTarget,
            @Min(1) int announcementSeconds,
            @Min(0) int drainSeconds) {

        private static final int MAX_BODY_BYTES = 1 << 20;
        private static final int MAX_HEADER_BYTES = 16 << 10;
        private static final int CONNECTIONS = 400;
        private static final int ANNOUNCEMENT_SECONDS = 5;
        private static final int DRAIN_SECONDS = 30;

        public Limits {
            maxBodyBytes = maxBodyBytes == 0 ? MAX_BODY_BYTES : maxBodyBytes;
            maxHeaderBytes = maxHeaderBytes == 0 ? MAX_HEADER_BYTES : maxHeaderBytes;
            connectionsToTarget = connectionsToTarget == 0 ? CONNECTIONS : connectionsToTarget;
            announcementSeconds = announcementSeconds == 0 ? ANNOUNCEMENT_SECONDS : announcementSeconds;
            drainSeconds = drainSeconds == 0 ? DRAIN_SECONDS : drainSeconds;
        }

        public static Limits defaults() {
            return new Limits(0, 0, 0, 0, 0);
        }
    }
}

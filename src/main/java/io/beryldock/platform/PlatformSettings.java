package io.beryldock.platform;

import com.google.common.collect.ImmutableList;
import io.beryldock.forwarding.Addresses;
import io.beryldock.settings.NodeSettings;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a node on the platform, from the JSON that the platform fills in from {@code deploy/node.json}. Immutable.
 *
 * @param id name of the node
 * @param dataCentre name of its data centre
 * @param address IP number of its VM
 * @param service service of the target in its VM
 * @param listeners where others reach the node
 * @param store where the platform's store answers, IP:PORT
 * @param retries how much all nodes together may retry
 * @param stopSeconds time from SIGTERM to the end of the process
 */
record PlatformSettings(
        @NotNull String id,
        @NotNull String dataCentre,

        @NotNull @Pattern(regexp = "[0-9.]+", message = "is an IP number")
        String address,

        @NotNull String service,
        @NotNull @Valid Listeners listeners,

        @NotNull @Pattern(regexp = ADDRESS, message = "is IP:PORT")
        String store,

        @NotNull @Valid Retries retries,
        @Min(1) double stopSeconds) {

    private static final String ADDRESS = "[0-9.]+:[0-9]{1,5}";

    /** What of the stop time is left for telling others, and for leaving; the rest is for requests in flight. */
    private static final double STOP_RESERVE_SECONDS = 4;

    /** Heartbeats come each 1.5 s and may be late by seconds. */
    private static final int HEARTBEAT_EXPIRY_SECONDS = 6;

    /**
     * Listeners of a node.
     *
     * @param requests takes the requests that begin in this VM, IP:PORT
     * @param readiness tells whether clients may send requests, IP:PORT
     * @param heartbeats takes the heartbeats of the target in this VM, IP:PORT
     * @param peerPort port for other nodes
     */
    record Listeners(
            @NotNull @Pattern(regexp = ADDRESS, message = "is IP:PORT")
            String requests,

            @NotNull @Pattern(regexp = ADDRESS, message = "is IP:PORT")
            String readiness,

            @NotNull @Pattern(regexp = ADDRESS, message = "is IP:PORT")
            String heartbeats,

            @Min(1) int peerPort) {}

    /**
     * The retries allowed to all nodes together.
     *
     * @param share of first tries
     * @param windowSeconds in any window of that length
     * @param slack beside the share, a service and window
     */
    record Retries(double share, double windowSeconds, double slack) {

        Duration window() {
            return Duration.ofMillis((long) (windowSeconds * 1000));
        }
    }

    InetSocketAddress storeAddress() {
        return Addresses.parse(store);
    }

    /** The product's settings of the same node. */
    NodeSettings node() {
        int drain = (int) Math.max(0, Math.round(stopSeconds - STOP_RESERVE_SECONDS));
        return new NodeSettings(
                id,
                dataCentre,
                "none",
                new NodeSettings.Listener(address, 0),
                new NodeSettings.Listener(address, 0),
                new NodeSettings.Peers(address, listeners.peerPort(), null, true),
                new NodeSettings.Admin(address, 0, null),
                ImmutableList.of(),
                null,
                NodeSettings.Policy.FULL,
                new NodeSettings.Limits(0, 0, 0, HEARTBEAT_EXPIRY_SECONDS, drain));
    }
}

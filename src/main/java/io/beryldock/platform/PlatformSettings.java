package io.beryldock.platform;

import com.google.common.base.Enums;
import com.google.common.collect.ImmutableList;
import io.beryldock.admission.GateSettings;
import io.beryldock.forwarding.Addresses;
import io.beryldock.quota.QuotaTerms;
import io.beryldock.retry.ArrivalBudget;
import io.beryldock.retry.RetryPolicySettings;
import io.beryldock.routing.ChooserSettings;
import io.beryldock.routing.Placement;
import io.beryldock.settings.NodeSettings;
import io.beryldock.settings.SelfChecked;
import io.beryldock.settings.SettingsException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Settings of a node on the platform, read from the JSON file that the platform generates from the template
 * {@code deploy/node.json}. Immutable.
 *
 * @param id name of the node
 * @param dataCentre name of its data centre
 * @param address IP address of its VM
 * @param service service of the target in its VM
 * @param listeners addresses on which the node accepts connections
 * @param store address of the platform's store, IP:PORT
 * @param retries retry budget of all nodes together
 * @param revokedKeysSeconds time after which a revoked key is refused by every node, even by nodes that are cut off
 *     from the store; absent if nodes that cannot learn of the revocation may continue to accept the key
 * @param quotas tolerance beyond the quotas of organisations; absent if there are no quotas
 * @param targets how targets are chosen and their slots are used; absent for the product's defaults
 * @param credits whether entry nodes acquire credits for whole call trees while a called service is overloaded; absent
 *     for no
 * @param stopSeconds time from SIGTERM to the end of the process
 */
record PlatformSettings(
        String id,
        String dataCentre,
        String address,
        String service,
        Listeners listeners,
        String store,
        Retries retries,
        Double revokedKeysSeconds,
        Quotas quotas,
        Targets targets,
        Boolean credits,
        double stopSeconds)
        implements SelfChecked {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");
    private static final String REMEDY = "correct deploy/node.json";

    /** Part of the stop time for announcing the stop and leaving the membership; requests in flight have the rest. */
    private static final double STOP_RESERVE_SECONDS = 4;

    /** Heartbeats are sent every 1.5 s and may arrive seconds late. */
    private static final int HEARTBEAT_EXPIRY_SECONDS = 6;

    /**
     * Listeners of a node.
     *
     * @param requests address for requests that originate in this VM, IP:PORT
     * @param readiness address of the readiness endpoint for clients, IP:PORT
     * @param heartbeats address for the heartbeats of the target in this VM, IP:PORT
     * @param peerPort port for connections of other nodes
     * @param advertisedPeerPort port to which other nodes connect if a proxy forwards their connections; absent if it
     *     is {@code peerPort}
     */
    record Listeners(String requests, String readiness, String heartbeats, int peerPort, Integer advertisedPeerPort) {}

    /**
     * The retry budget of all nodes together.
     *
     * @param share repeats allowed per first arrival at the targets of a service, 0 to 1
     * @param windowSeconds length of the window in which the budget applies; it holds in any window of that length
     * @param resends number of times a call is sent again after targets with free slots refused it; absent for 0
     * @param failedLeaves whether a failed call that made no inner calls is retried at another target
     */
    record Retries(double share, double windowSeconds, Integer resends, Boolean failedLeaves) {

        RetryPolicySettings policy() {
            return new RetryPolicySettings(resends == null ? 0 : resends, failedLeaves != null && failedLeaves);
        }

        Duration window() {
            return Duration.ofMillis((long) (windowSeconds * 1000));
        }
    }

    /**
     * Tolerance beyond a quota, in any window.
     *
     * @param windowSeconds length of the window
     * @param overage tolerated excess, as a share of the quota
     * @param slack requests tolerated in addition to the overage
     * @param dataCentres names of all data centres
     */
    record Quotas(double windowSeconds, double overage, double slack, ImmutableList<String> dataCentres) {

        QuotaTerms terms() {
            return new QuotaTerms(windowSeconds, overage, slack, dataCentres.size());
        }
    }

    /**
     * How targets are chosen and their slots are used.
     *
     * @param usableSlots share of the announced slots to use, for targets that slow down when nearly full; absent for
     *     all
     * @param timesByKind whether service times are tracked separately for each kind of request; absent for no
     * @param placement strategy for ranking targets, a name of {@link Placement}; absent for the default
     * @param crossingMillis cost of the bytes that a call sends between data centres, as an equivalent waiting time;
     *     absent for the default
     */
    record Targets(Double usableSlots, Boolean timesByKind, String placement, Double crossingMillis) {

        private static final Targets DEFAULTS = new Targets(null, null, null, null);

        private void check() throws SettingsException {
            require(
                    usableSlots == null || (usableSlots > 0 && usableSlots <= 1),
                    "targets.usableSlots",
                    "a share above 0 and at most 1, or leave it out");
            require(
                    placement == null
                            || Enums.getIfPresent(Placement.class, placement).isPresent(),
                    "targets.placement",
                    "one of " + Arrays.toString(Placement.values()));
            require(
                    crossingMillis == null || crossingMillis >= 0,
                    "targets.crossingMillis",
                    "a time of 0 or more, or leave it out");
        }

        GateSettings gate() {
            return GateSettings.ofAnnouncedSlots()
                    .withUsableShare(usableSlots == null ? 1 : usableSlots)
                    .withTimesByKind(timesByKind != null && timesByKind);
        }

        ChooserSettings chooser() {
            ChooserSettings defaults = ChooserSettings.defaults();
            Placement chosen = placement == null ? defaults.placement() : Placement.valueOf(placement);
            Duration crossing = crossingMillis == null
                    ? defaults.crossingPrice()
                    : Duration.ofNanos((long) (crossingMillis * NANOS_PER_MILLI));
            return defaults.withPlacement(chosen, crossing);
        }
    }

    @Override
    public void check() throws SettingsException {
        require(id != null && !id.isEmpty(), "id", "the name of the node");
        require(dataCentre != null && !dataCentre.isEmpty(), "dataCentre", "the name of its data centre");
        require(address != null && !address.isEmpty(), "address", "the IP number of its VM");
        require(service != null && !service.isEmpty(), "service", "the service of its target");
        require(listeners != null, "listeners", "the addresses of its listeners");
        requireAddress(listeners.requests(), "listeners.requests");
        requireAddress(listeners.readiness(), "listeners.readiness");
        requireAddress(listeners.heartbeats(), "listeners.heartbeats");
        require(listeners.peerPort() > 0, "listeners.peerPort", "a port");
        requireAddress(store, "store");
        require(
                retries != null && retries.window().compareTo(ArrivalBudget.MIN_WINDOW) >= 0,
                "retries.windowSeconds",
                "a time of " + ArrivalBudget.MIN_WINDOW.toMillis() + " ms or more");
        require(retries.resends() == null || retries.resends() >= 0, "retries.resends", "a number, 0 or more");
        require(retries.share() >= 0 && retries.share() <= 1, "retries.share", "a share from 0 to 1");
        require(
                revokedKeysSeconds == null || revokedKeysSeconds > 0,
                "revokedKeysSeconds",
                "a time above 0, or leave it out");
        if (quotas != null) {
            require(quotas.windowSeconds() > 0, "quotas.windowSeconds", "a time above 0");
            require(quotas.overage() >= 0, "quotas.overage", "a share of 0 or more");
            require(quotas.slack() >= 0, "quotas.slack", "a number of requests, 0 or more");
            require(
                    quotas.dataCentres() != null && !quotas.dataCentres().isEmpty(),
                    "quotas.dataCentres",
                    "the names of all data centres");
        }
        targets().check();
        require(stopSeconds >= 1, "stopSeconds", "a time of 1 s or more");
    }

    private static void requireAddress(String value, String key) throws SettingsException {
        require(value != null && ADDRESS.matcher(value).matches(), key, "an address IP:PORT");
    }

    private static void require(boolean holds, String key, String expected) throws SettingsException {
        if (!holds) {
            throw new SettingsException(key, expected, REMEDY);
        }
    }

    Optional<Duration> revokedKeysWithin() {
        return Optional.ofNullable(revokedKeysSeconds).map(seconds -> Duration.ofMillis((long) (seconds * 1000)));
    }

    boolean creditsEnabled() {
        return credits != null && credits;
    }

    @Override
    public Targets targets() {
        return targets == null ? Targets.DEFAULTS : targets;
    }

    QuotaTerms quotaTerms() {
        return quotas == null ? QuotaTerms.defaults() : quotas.terms();
    }

    InetSocketAddress storeAddress() {
        return Addresses.parse(store);
    }

    /** The equivalent settings of the product for this node. */
    NodeSettings node() {
        int drain = (int) Math.max(0, Math.round(stopSeconds - STOP_RESERVE_SECONDS));
        return new NodeSettings(
                id,
                dataCentre,
                "none",
                new NodeSettings.Listener(address, 0),
                new NodeSettings.Listener(address, 0),
                new NodeSettings.Peers(address, listeners.peerPort(), null, true, listeners.advertisedPeerPort()),
                new NodeSettings.Admin(address, 0, null),
                ImmutableList.of(),
                null,
                NodeSettings.Policy.FULL,
                new NodeSettings.Limits(0, 0, 0, HEARTBEAT_EXPIRY_SECONDS, drain));
    }
}

package io.beryldock.platform;

import com.google.common.base.Enums;
import com.google.common.collect.ImmutableList;
import io.beryldock.admission.GateSettings;
import io.beryldock.forwarding.Addresses;
import io.beryldock.quota.QuotaTerms;
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
 * Settings of a node on the platform, from the JSON that the platform fills in from {@code deploy/node.json}.
 * Immutable.
 *
 * @param id name of the node
 * @param dataCentre name of its data centre
 * @param address IP number of its VM
 * @param service service of the target in its VM
 * @param listeners where others reach the node
 * @param store where the platform's store answers, IP:PORT
 * @param retries how much all nodes together may retry
 * @param revokedKeysSeconds time after which a key that was taken away opens nothing at any node, cut off or not;
 *     absent where nodes that can't hear of it may go on
 * @param quotas what is tolerated beyond the quotas of organisations; absent where there are none
 * @param targets how targets are chosen and their slots are used; absent as in the product's defaults
 * @param credits whether entries take credits for trees of calls while a service beneath is short; absent for no
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
    private static final String TEMPLATE = "correct deploy/node.json";

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
     * @param advertisedPeerPort port at which they reach it, when a forwarder takes their connections; absent for the
     *     same
     */
    record Listeners(String requests, String readiness, String heartbeats, int peerPort, Integer advertisedPeerPort) {}

    /**
     * The retries allowed to all nodes together.
     *
     * @param share of first tries
     * @param windowSeconds in any window of that length
     * @param slack beside the share, a service and window
     * @param windowed whether each node counts first tries and repeats over sliding windows, in place of tokens
     * @param resends times that a call is sent again after targets with free slots turned it away; absent for none
     * @param failedLeaves whether failures of calls that call nothing are tried elsewhere
     */
    record Retries(
            double share, double windowSeconds, double slack, Boolean windowed, Integer resends, Boolean failedLeaves) {

        boolean isWindowed() {
            return windowed != null && windowed;
        }

        RetryPolicySettings policy() {
            return new RetryPolicySettings(resends == null ? 0 : resends, failedLeaves != null && failedLeaves);
        }

        Duration window() {
            return Duration.ofMillis((long) (windowSeconds * 1000));
        }
    }

    /**
     * What is tolerated beyond a quota, in any window: an overage of it, and some requests beside.
     *
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
     * @param usableSlots share of the slots that is used, for targets that slow down when nearly full; absent for all
     * @param timesByKind whether service times are told apart by kind of request; absent for no
     * @param placement how targets are weighed against each other, a name of {@link Placement}
     * @param crossingMillis what a call's bytes between data centres are worth as waiting time
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
            ChooserSettings usual = ChooserSettings.defaults();
            Placement chosen = placement == null ? usual.placement() : Placement.valueOf(placement);
            Duration crossing = crossingMillis == null
                    ? usual.crossingPrice()
                    : Duration.ofNanos((long) (crossingMillis * NANOS_PER_MILLI));
            return usual.withPlacement(chosen, crossing);
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
        require(retries != null && retries.windowSeconds() > 0, "retries.windowSeconds", "a time above 0");
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
            throw new SettingsException(key, expected, TEMPLATE);
        }
    }

    Optional<Duration> revokedKeysWithin() {
        return Optional.ofNullable(revokedKeysSeconds).map(seconds -> Duration.ofMillis((long) (seconds * 1000)));
    }

    boolean takesCredits() {
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

    /** The product's settings of the same node. */
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

package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * The settings of membership. Immutable.
 *
 * @param seeds peer addresses of nodes that a new node asks first; may be empty
 * @param probePeriod time between two probes that a node sends
 * @param targetExpiry a target that has not renewed its announcement for that long is withdrawn
 */
public record MembershipSettings(ImmutableList<InetSocketAddress> seeds, Duration probePeriod, Duration targetExpiry) {

    private static final Duration PROBE_PERIOD = Duration.ofMillis(500);
    private static final Duration TARGET_EXPIRY = Duration.ofSeconds(10);

    /** The recommended settings with these seeds. */
    public static MembershipSettings of(List<InetSocketAddress> seeds) {
        return new MembershipSettings(ImmutableList.copyOf(seeds), PROBE_PERIOD, TARGET_EXPIRY);
    }

    public MembershipSettings withTargetExpiry(Duration expiry) {
        return new MembershipSettings(seeds, probePeriod, expiry);
    }
}

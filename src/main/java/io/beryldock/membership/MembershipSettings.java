package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * The settings of membership. Immutable.
 *
 * @param seeds peer addresses of nodes that a new node asks first; may be empty
 * @param observers number of nodes that probe each node of a data centre
 * @param probePeriod time between two probes of one neighbour
 * @param probeTimeout a probe unanswered for that long has failed
 * @param suspicion time that a suspected node has to deny
 * @param targetExpiry a target that has not renewed its announcement for that long is withdrawn
 */
public record MembershipSettings(
        ImmutableList<InetSocketAddress> seeds,
        int observers,
        Duration probePeriod,
        Duration probeTimeout,
        Duration suspicion,
        Duration targetExpiry) {

    private static final int OBSERVERS = 4;
    private static final Duration PROBE_PERIOD = Duration.ofSeconds(2);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(750);
    private static final Duration SUSPICION = Duration.ofSeconds(3);
    private static final Duration TARGET_EXPIRY = Duration.ofSeconds(10);

    /** The recommended settings with these seeds. */
    public static MembershipSettings of(List<InetSocketAddress> seeds) {
        return new MembershipSettings(
                ImmutableList.copyOf(seeds), OBSERVERS, PROBE_PERIOD, PROBE_TIMEOUT, SUSPICION, TARGET_EXPIRY);
    }

    public MembershipSettings withTargetExpiry(Duration expiry) {
        return new MembershipSettings(seeds, observers, probePeriod, probeTimeout, suspicion, expiry);
    }

    public MembershipSettings withObservers(int number) {
        return new MembershipSettings(seeds, number, probePeriod, probeTimeout, suspicion, targetExpiry);
    }
}

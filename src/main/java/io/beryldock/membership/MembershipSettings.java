package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * The settings of membership. Immutable.
 *
 * @param seeds peer addresses that a new node contacts first; may be empty
 * @param observers number of nodes that probe each node of a data centre
 * @param probePeriod time between two probes of one neighbour
 * @param probeTimeout time after which an unanswered probe has failed
 * @param suspicion time within which a suspected node can refute the suspicion
 * @param targetExpiry time without a renewal of its announcement after which a target is withdrawn
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

    /** Creates the recommended settings with the given seeds. */
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

package io.beryldock.credit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TreeCost;
import io.beryldock.call.TreeCost.ServiceCost;
import org.junit.jupiter.api.Test;

final class TreeProfilesTest {

    private static final ServiceName ROOT = ServiceName.of("catalogue");
    private static final ServiceName BENEATH = ServiceName.of("parcels");
    private static final TreeKey TREE = new TreeKey("browse", ROOT);

    private final TreeProfiles profiles = new TreeProfiles();

    private void learn(int trees, long rootNanos, long beneathNanos) {
        TreeCost cost = new TreeCost(
                ImmutableList.of(new ServiceCost(ROOT, 1, rootNanos), new ServiceCost(BENEATH, 8, beneathNanos)));
        for (int i = 0; i < trees; i++) {
            profiles.learn(TREE, cost);
        }
    }

    @Test
    void unknownKindsCostNothing() {
        assertThat(profiles.nanos(TREE, BENEATH)).isZero();
        assertThat(profiles.usualNanos(TREE)).isZero();
    }

    @Test
    void firstTreesDetermineTheCost() {
        learn(3, 300_000_000, 528_000_000);
        assertThat(profiles.nanos(TREE, BENEATH)).isCloseTo(528e6, within(1.0));
        assertThat(profiles.usualNanos(TREE)).isEqualTo(300_000_000);
    }

    /** Load pattern: a configuration change doubles the calls of a route. */
    @Test
    void meanFollowsWithinSomeTensOfTrees() {
        learn(200, 300_000_000, 528_000_000);
        learn(75, 300_000_000, 1_056_000_000);
        assertThat(profiles.nanos(TREE, BENEATH)).isGreaterThan(0.95 * 1_056e6);
    }

    /** Guards against trees that wait for credits of a service that they no longer call. */
    @Test
    void serviceThatIsNoLongerCalledCostsNothing() {
        learn(10, 300_000_000, 528_000_000);
        for (int i = 0; i < 400; i++) {
            profiles.learn(TREE, TreeCost.ofCall(ROOT, 300_000_000));
        }
        assertThat(profiles.nanos(TREE, BENEATH)).isZero();
    }

    /** Guards against memory that grows with the variety of callers' requests. */
    @Test
    void kindsAreBounded() {
        for (int i = 0; i <= TreeProfiles.MAX_KINDS; i++) {
            profiles.learn(new TreeKey("route-" + i, ROOT), TreeCost.ofCall(ROOT, 1_000_000));
        }
        assertThat(profiles.nanos(new TreeKey("route-" + TreeProfiles.MAX_KINDS, ROOT), ROOT))
                .isZero();
    }
}

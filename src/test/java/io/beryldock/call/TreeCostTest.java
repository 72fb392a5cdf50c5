package io.beryldock.call;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.wire.WireResult;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class TreeCostTest {

    private static final ServiceName ORDERS = ServiceName.of("orders");
    private static final ServiceName STOCK = ServiceName.of("stock");

    @Test
    void callsOfOneServiceAddUp() {
        TreeCost tree = TreeCost.ofCall(ORDERS, 5_000)
                .plus(TreeCost.ofCall(STOCK, 2_000))
                .plus(TreeCost.ofCall(STOCK, 3_000));
        assertThat(tree.services()).hasSize(2);
        assertThat(tree.calls(STOCK)).isEqualTo(2);
        assertThat(tree.busyNanos(STOCK)).isEqualTo(5_000);
        assertThat(tree.busyNanos(ORDERS)).isEqualTo(5_000);
    }

    /** Guards against answers whose size grows with the number of services in the call graph. */
    @Test
    void listsAtMostMaxServices() {
        TreeCost tree = TreeCost.none();
        for (int i = 0; i < TreeCost.MAX_SERVICES + 3; i++) {
            tree = tree.plus(TreeCost.ofCall(ServiceName.of("s" + i), 1));
        }
        assertThat(tree.services()).hasSize(TreeCost.MAX_SERVICES);
    }

    @Test
    void costAndLoadRoundTripThroughCodec() {
        TargetLoad load = new TargetLoad(7, 16, 15, 3, 40_000_000, true, false);
        CallResult result = CallResult.answered(new Answer(200, Headers.empty(), ByteString.EMPTY))
                .withLevels(ImmutableList.of())
                .withCost(TreeCost.ofCall(ORDERS, 9_000))
                .withLoad(load);
        WireResult wire = CallCodec.encode(result);
        assertThat(CallCodec.decode(wire).cost()).isEqualTo(result.cost());
        assertThat(CallCodec.decode(wire).load()).contains(load);
    }

    /** Guards against a limit or a leaving that is lost or altered on its way between nodes. */
    @Test
    void noticesRoundTripThroughCodec() {
        for (double rate : new double[] {0, 0.3, 29.7, TargetNotice.UNLIMITED}) {
            for (boolean leaving : new boolean[] {false, true}) {
                StartNotice notice = new StartNotice("i-616a21fd35", rate, leaving);
                assertThat(CallCodec.decode(CallCodec.encode(notice))).isEqualTo(notice);
                TargetLoad load = new TargetLoad(7, 16, 15, 3, 40_000_000, true, false, 2, Optional.of(notice));
                CallResult result = CallResult.notRun(Reason.RATE_LIMITED, "").withLoad(load);
                assertThat(CallCodec.decode(CallCodec.encode(result)).load()).contains(load);
            }
        }
    }

    @Test
    void rateRoomBoundsTheFreeSlots() {
        assertThat(new TargetLoad(1, 16, 4, 0, 0, false, false, 3, Optional.empty()).freeSlots())
                .isEqualTo(3);
        assertThat(new TargetLoad(1, 16, 4, 0, 0, false, false, 0, Optional.empty()).freeSlots())
                .isZero();
    }

    /** Guards against dispatching to a target that has free slots but admits no requests because it is draining. */
    @Test
    void drainingTargetHasNoFreeSlot() {
        assertThat(new TargetLoad(1, 16, 4, 2, 0, false, false).freeSlots()).isEqualTo(10);
        assertThat(new TargetLoad(1, 16, 4, 2, 0, false, true).freeSlots()).isZero();
    }
}

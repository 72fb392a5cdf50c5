package io.beryldock.call;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.wire.WireResult;
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

    /** Guards against dispatching to a target that has free slots but admits no requests because it is draining. */
    @Test
    void drainingTargetHasNoFreeSlot() {
        assertThat(new TargetLoad(1, 16, 4, 2, 0, false, false).freeSlots()).isEqualTo(10);
        assertThat(new TargetLoad(1, 16, 4, 2, 0, false, true).freeSlots()).isZero();
    }
}

package io.beryldock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.platform.InMemoryPlatformStore;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class MembershipServiceTest {

    private static final ServiceName LISTS = ServiceName.of("lists");

    private final ManualTimerService timers = ManualTimerService.create();
    private final Map<InetSocketAddress, MembershipService> nodes = new HashMap<>();

    @Test
    void nodesFromOneSeedSeeEachOthersTargets() {
        MembershipService first = start(1);
        MembershipService second = start(2);
        MembershipService third = start(3);
        third.announce(LISTS, 50, TargetState.READY);
        timers.advance(Duration.ofSeconds(3));
        assertThat(first.directory().targetsOf(LISTS)).hasSize(1);
        assertThat(second.directory().targetsOf(LISTS)).hasSize(1);
        assertThat(second.directory().nodes()).hasSize(3);
    }

    private MembershipService start(int number) {
        Random random = new Random(number);
        NodeDescriptor self = new NodeDescriptor(
                NodeId.of("n" + number), Incarnation.random(random), DataCentre.of("gent-a"), address(number));
        MembershipService service = MembershipService.create(
                MembershipSettings.of(List.of(address(1))),
                self,
                (to, body) -> deliver(self, to, body),
                timers,
                random,
                EventSink.none(),
                InMemoryPlatformStore.create(timers, new Random(number)));
        nodes.put(self.peerAddress(), service);
        service.start();
        return service;
    }

    private void deliver(NodeDescriptor from, InetSocketAddress to, ByteString body) {
        timers.after(Duration.ofMillis(1), () -> nodes.get(to).onMessage(from.id(), body));
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + number);
    }
}

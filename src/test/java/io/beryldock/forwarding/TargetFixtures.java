package io.beryldock.forwarding;

import com.google.protobuf.ByteString;
import io.beryldock.admission.GateSettings;
import io.beryldock.admission.TargetGate;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.quarantine.QuarantineSettings;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** A node with a target of the service "lists", and reads of it. Stateless except for issued ids; thread safe. */
public final class TargetFixtures {

    static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("127.0.0.1", 1);
    private static final ServiceName LISTS = ServiceName.of("lists");
    private static final RequestIds IDS = RequestIds.of(Incarnation.random(new Random(1)));

    private TargetFixtures() {}

    public static Quarantine quarantine(TimerService timers) {
        NodeDescriptor self =
                new NodeDescriptor(NodeId.of("a"), new Incarnation(1, 1), DataCentre.of("gent-a"), ADDRESS);
        return Quarantine.create(self, timers.ticker(), QuarantineSettings.defaults(), EventSink.none());
    }

    /** A detector for which the target's process is in the given state after each lost exchange. */
    public static TargetCrashDetector crashDetector(
            TargetProcessState state, Quarantine quarantine, TimerService timers) {
        return TargetCrashDetector.create(
                address -> lostAtNanos -> CompletableFuture.completedFuture(state),
                quarantine,
                (service, delta) -> CompletableFuture.completedFuture(null),
                timers,
                EventSink.none());
    }

    static AnnouncedTarget target(TimerService timers) {
        TargetGate gate = TargetGate.create(GateSettings.defaults(), timers, new Random(1), EventSink.none(), LISTS);
        return new AnnouncedTarget(LISTS, ADDRESS, gate);
    }

    public static Call read(String path, Duration timeLimit) {
        return read(path, timeLimit, id -> Headers.empty());
    }

    /** A read with headers that may depend on its id. */
    public static Call read(String path, Duration timeLimit, Function<RequestId, Headers> headers) {
        RequestId id = IDS.next();
        PriorityClass browsing = PriorityClass.of("browsing", 5);
        CallContext context = new CallContext(id, id, browsing, timeLimit.toNanos(), 0, 0, 0, 0, false);
        return new Call(
                id,
                Call.OUTSIDE,
                LISTS,
                "GET",
                path,
                headers.apply(id),
                ByteString.EMPTY,
                true,
                Optional.empty(),
                context);
    }
}

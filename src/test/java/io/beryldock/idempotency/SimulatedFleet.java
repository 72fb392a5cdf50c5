package io.beryldock.idempotency;

import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.Outcome;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.peer.PeerException;
import io.beryldock.peer.PeerHandler;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.store.StoreFaults;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.wire.WireTicketOffer;
import io.beryldock.wire.WireTicketReply;
import io.beryldock.wire.WireTicketRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

/**
 * A few nodes with the production decision classes that share one clock and one seed, with a network, a store and
 * targets that fail.
 */
final class SimulatedFleet {

    private static final ServiceName SERVICE = ServiceName.of("orders");
    static final int MAX_TICKETS = 12;

    private static final int NODES = 4;
    private static final int TARGETS = 3;
    private static final long CALL_MILLIS = 2_500;
    private static final String KEY_HEADER = "X-Key";
    private static final TicketSettings TICKETS =
            new TicketSettings(MAX_TICKETS, 100_000, Duration.ofSeconds(15), Duration.ofSeconds(20), 4, 1);
    /**
     * A new generation is opened for almost every key. There are more generations than keys, so that none is
     * overwritten.
     */
    private static final KeySettings KEYS = new KeySettings(
            "keys/",
            1,
            6,
            Duration.ofMillis(50),
            Duration.ofMillis(20),
            Duration.ofMillis(50),
            Duration.ofSeconds(2),
            900_000);

    /** Deliberate violations of the protocol, injected at the interfaces of the production classes. */
    enum Variant {
        NONE,
        /** An attempt with an unknown outcome is retried. */
        DISPATCH_AFTER_UNKNOWN,
        /** The target's node runs every message that arrives. */
        NO_RUN_GUARD,
        /** A write whose answer was lost is assumed to be applied. */
        NO_READ_BACK,
        /** A successor treats the first part of a table as the whole table. */
        EARLY_SUCCESSOR
    }

    private final Variant variant;
    private final Random random;
    private final ManualTimerService time = ManualTimerService.create();
    private final RunLedger ledger = new RunLedger();
    private final SimulatedNetwork network;
    private final InMemoryPlatformStore store;
    private final RequestIds ids = RequestIds.of(new Incarnation(1, 1));
    private final SimulatedNode[] nodes = new SimulatedNode[NODES];
    private final Map<Incarnation, SimulatedNode> nodesByIncarnation = new HashMap<>();
    private long incarnations;

    SimulatedFleet(long seed, Variant variant) {
        this.variant = variant;
        this.random = new Random(seed);
        this.network = new SimulatedNetwork(time, random);
        this.store = InMemoryPlatformStore.create(time, random);
        for (int i = 0; i < NODES; i++) {
            start(i);
        }
        Directory directory = directory();
        for (SimulatedNode node : nodes) {
            node.updateView(directory);
        }
    }

    RunLedger ledger() {
        return ledger;
    }

    Random random() {
        return random;
    }

    SimulatedNetwork network() {
        return network;
    }

    InMemoryPlatformStore store() {
        return store;
    }

    SimulatedNode node(int index) {
        return nodes[index];
    }

    int randomNode() {
        return random.nextInt(NODES);
    }

    void schedule(long millis, Runnable task) {
        time.after(Duration.ofMillis(millis), task);
    }

    void advance(Duration length) {
        time.advance(length);
    }

    /** Restarts a node; everything that ran under its id before is terminated. */
    void start(int index) {
        if (nodes[index] != null) {
            nodes[index].crash();
        }
        NodeDescriptor descriptor = KeyedFixtures.node("node-" + index, ++incarnations);
        SimulatedNode node = new SimulatedNode(descriptor, time, random);
        IdempotencyPorts ports = new IdempotencyPorts(
                descriptor,
                node::view,
                (call, identity) -> dispatch(node, call, identity, 2),
                (peer, request, timeout) -> ask(node, peer, request, timeout),
                new NodeStore(node, store, network, time, variant == Variant.NO_READ_BACK),
                node,
                node::post,
                random,
                (kind, request, subject, detail) ->
                        ledger.check(kind != EventKind.INVARIANT_BROKEN, subject + " " + detail));
        node.start(KeyedRequests.create(ports, TICKETS, KEYS));
        nodes[index] = node;
        nodesByIncarnation.put(descriptor.incarnation(), node);
        for (SimulatedNode other : nodes) {
            if (other != null) {
                time.after(network.delay(), () -> other.updateView(directory()));
            }
        }
    }

    private Directory directory() {
        List<NodeDescriptor> alive = new ArrayList<>();
        List<TargetRecord> targets = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            if (!nodes[i].dead()) {
                alive.add(nodes[i].descriptor());
                if (i < TARGETS) {
                    targets.add(new TargetRecord(nodes[i].descriptor(), SERVICE, 8, TargetState.READY, 1));
                }
            }
        }
        return Directory.of(alive, targets);
    }

    private CompletableFuture<WireTicketReply> ask(
            SimulatedNode from, NodeDescriptor to, WireTicketRequest request, Duration timeout) {
        return network.request(
                from,
                nodesByIncarnation.get(to.incarnation()),
                timeout,
                (node, reply) -> node.keyed().handler().handle(message(applyVariant(request), reply)));
    }

    private WireTicketRequest applyVariant(WireTicketRequest request) {
        if (variant != Variant.EARLY_SUCCESSOR || !request.hasOffer()) {
            return request;
        }
        WireTicketOffer offer = request.getOffer().toBuilder().setParts(1).build();
        return request.toBuilder().setOffer(offer).build();
    }

    private static PeerHandler.PeerMessage message(WireTicketRequest request, Consumer<WireTicketReply> reply) {
        return new PeerHandler.PeerMessage() {
            @Override
            public String sender() {
                return "peer";
            }

            @Override
            public ByteString body() {
                return request.toByteString();
            }

            @Override
            public void reply(ByteString body) {
                try {
                    reply.accept(WireTicketReply.parseFrom(body));
                } catch (com.google.protobuf.InvalidProtocolBufferException e) {
                    throw new IllegalStateException(e);
                }
            }

            @Override
            public void onCancel(Runnable task) {}
        };
    }

    /** Stands in for the forwarder: sheds some requests, and tries another target only after a definite refusal. */
    private CompletableFuture<CallResult> dispatch(SimulatedNode home, Call call, CallerIdentity identity, int tries) {
        List<TargetRecord> targets = home.view().targetsOf(SERVICE);
        if (targets.isEmpty() || network.chance(3)) {
            return CompletableFuture.completedFuture(CallResult.notRun(Reason.SHED_AT_DOOR, ""));
        }
        TargetRecord target = targets.get(random.nextInt(targets.size()));
        Call attempt = call.attempt(ids.next(), call.context());
        Duration timeout = Duration.ofMillis(network.chance(20) ? 3 * CALL_MILLIS : CALL_MILLIS);
        return network.<CallResult>request(
                        home,
                        nodesByIncarnation.get(target.node().incarnation()),
                        timeout,
                        (node, reply) -> execute(node, attempt, identity, reply))
                .exceptionally(SimulatedFleet::classify)
                .thenCompose(result -> {
                    boolean retry = result.outcome() == Outcome.NOT_RUN
                            || (result.outcome() == Outcome.UNKNOWN && variant == Variant.DISPATCH_AFTER_UNKNOWN);
                    return retry && tries > 1
                            ? dispatch(home, call, identity, tries - 1)
                            : CompletableFuture.completedFuture(result);
                });
    }

    private static CallResult classify(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notSent = cause instanceof PeerException e && e.kind() == PeerException.Kind.NOT_SENT;
        return notSent ? CallResult.notRun(Reason.CONNECT_FAILED, "") : CallResult.unknown(Reason.CONNECTION_LOST, "");
    }

    private void execute(SimulatedNode node, Call call, CallerIdentity identity, Consumer<CallResult> reply) {
        CompletableFuture<CallResult> result = variant == Variant.NO_RUN_GUARD
                ? runAtTarget(node, call, identity)
                : node.keyed().guard().run(call, identity, () -> runAtTarget(node, call, identity));
        FutureCallbacks.onComplete(result, (value, failure) -> reply.accept(value));
    }

    private CompletableFuture<CallResult> runAtTarget(SimulatedNode node, Call call, CallerIdentity identity) {
        CompletableFuture<CallResult> end = new CompletableFuture<>();
        if (network.chance(10)) {
            end.complete(CallResult.notRun(Reason.SHED_AT_TARGET, ""));
            return end;
        }
        node.after(network.delay(), () -> {
            ledger.recordRun(call.headers().first(KEY_HEADER).orElseThrow());
            boolean lost = network.chance(5);
            CallResult result = lost
                    ? CallResult.unknown(Reason.CONNECTION_LOST, "")
                    : KeyedFixtures.answer(expectedAnswer(call, identity));
            node.after(network.delay(), () -> end.complete(result));
        });
        return end;
    }

    private static String expectedAnswer(Call call, CallerIdentity identity) {
        return call.headers().first(KEY_HEADER).orElseThrow()
                + call.body().toStringUtf8()
                + identity.equals(KeyedFixtures.ANN);
    }

    /** Submits the keyed request at the node; this may be its first submission or a retry. */
    void submit(SimulatedNode entry, String key, CallerIdentity identity, String body) {
        Headers headers = Headers.empty().with(KEY_HEADER, key);
        RequestId id = ids.next();
        CallContext context = new CallContext(
                id,
                id,
                PriorityClass.of("orders", 0),
                Duration.ofMillis(CALL_MILLIS).toNanos(),
                0,
                0,
                0,
                0,
                false);
        Call call = new Call(
                id,
                Call.OUTSIDE,
                SERVICE,
                "POST",
                "/orders",
                headers,
                ByteString.copyFromUtf8(body),
                false,
                Optional.of(key),
                context);
        entry.post(() -> FutureCallbacks.onComplete(
                entry.keyed().coordinator().handle(call, identity),
                (result, failure) -> ledger.recordResult(key, expectedAnswer(call, identity), result)));
    }

    /** Injects a random fault into the store for the given time. */
    void injectStoreFault(Duration length) {
        StoreFaults faults =
                switch (random.nextInt(4)) {
                    case 0 -> StoreFaults.none().withDown(true);
                    case 1 -> StoreFaults.none().withSilent(true);
                    case 2 -> StoreFaults.none().withDelay(Duration.ofMillis(random.nextInt(4_000)));
                    default -> StoreFaults.none().withLoseShare(random.nextDouble());
                };
        store.setFaults(faults);
        time.after(length, () -> store.setFaults(StoreFaults.none()));
    }
}

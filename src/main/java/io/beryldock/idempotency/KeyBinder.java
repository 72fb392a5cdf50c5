package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.NodeId;
import io.beryldock.call.Reason;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.wire.WireBindReply;
import io.beryldock.wire.WireBindRequest;
import io.beryldock.wire.WireTicketRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Binds callers' keys to tickets in the platform store; a binding is unique within the deployment.
 *
 * <p>For each shard, rendezvous hashing selects a batcher node that combines the bindings of all nodes into few writes.
 * Batching only reduces load: every node may write every shard, and safety depends on the store's compare-and-set
 * alone. Called on the control thread only.
 */
public final class KeyBinder {

    /** Number of batcher nodes tried before this node writes the binding itself. */
    private static final int BATCHERS = 2;

    private final IdempotencyPorts ports;
    private final KeySettings settings;
    private final Map<Integer, KeyShard> shards = new HashMap<>();
    private final Map<Integer, ImmutableList<NodeDescriptor>> batchers = new HashMap<>();
    private ImmutableMap<NodeId, NodeDescriptor> rankedNodes = ImmutableMap.of();

    private KeyBinder(IdempotencyPorts ports, KeySettings settings) {
        this.ports = ports;
        this.settings = settings;
    }

    static KeyBinder create(IdempotencyPorts ports, KeySettings settings) {
        return new KeyBinder(ports, settings);
    }

    /**
     * Binds the key to the proposed ticket unless it is already bound; without a proposed ticket, closes the key.
     *
     * <p>A bound or closed key keeps its state for the retention period of keys, at every node. After {@link
     * BindResult.Unknown} the store may still apply the binding to the proposed ticket, so that ticket must not be used
     * for another request.
     */
    public CompletableFuture<BindResult> bind(
            CallerKey key, KeyScope scope, Optional<TicketId> proposed, Duration timeLeft) {
        KeyBinding proposal = new KeyBinding(key, scope, proposed);
        Duration limit = timeLeft.compareTo(settings.timeout()) < 0 ? timeLeft : settings.timeout();
        return bindVia(batchers(shardOf(key)), proposal, now() + limit.toNanos());
    }

    private CompletableFuture<BindResult> bindVia(
            ImmutableList<NodeDescriptor> untried, KeyBinding proposal, long deadline) {
        Duration left = Duration.ofNanos(Math.max(0, deadline - now()));
        if (untried.isEmpty() || untried.get(0).equals(ports.self())) {
            return bindLocally(proposal, left);
        }
        ImmutableList<NodeDescriptor> rest = untried.subList(1, untried.size());
        return ask(untried.get(0), proposal, left.dividedBy(untried.size() + 1))
                .thenComposeAsync(
                        result -> result instanceof BindResult.Unknown
                                ? bindVia(rest, proposal, deadline)
                                : CompletableFuture.completedFuture(result),
                        ports.control());
    }

    /** Binds the key by writing from this node, for its own requests or as batcher for other nodes. */
    CompletableFuture<BindResult> bindLocally(KeyBinding proposal, Duration timeLeft) {
        int shard = shardOf(proposal.key());
        shards.entrySet()
                .removeIf(entry -> entry.getKey() != shard && entry.getValue().isIdle());
        return shards.computeIfAbsent(shard, number -> KeyShard.create(number, ports, settings))
                .bind(proposal, timeLeft);
    }

    private int shardOf(CallerKey key) {
        return Math.floorMod(key.high(), settings.shards());
    }

    /**
     * Recomputes the ranking only when the directory's node map has changed, to avoid hashing thousands of nodes for
     * each key.
     */
    @SuppressWarnings("ReferenceEquality")
    private ImmutableList<NodeDescriptor> batchers(int shard) {
        ImmutableMap<NodeId, NodeDescriptor> nodes = ports.directory().get().nodes();
        if (nodes != rankedNodes) {
            rankedNodes = nodes;
            batchers.clear();
        }
        return batchers.computeIfAbsent(
                shard, number -> Rendezvous.first(nodes.values(), settings.prefix() + number, BATCHERS));
    }

    private CompletableFuture<BindResult> ask(NodeDescriptor batcher, KeyBinding proposal, Duration timeout) {
        WireBindRequest request = WireBindRequest.newBuilder()
                .setKeyHigh(proposal.key().high())
                .setKeyLow(proposal.key().low())
                .setScopeHigh(proposal.scope().high())
                .setScopeLow(proposal.scope().low())
                .setTicket(proposal.ticket().map(TicketId::toString).orElse(""))
                .setTimeoutNanos(timeout.toNanos())
                .build();
        return ports.peers()
                .ask(batcher, WireTicketRequest.newBuilder().setBind(request).build(), timeout)
                .handle((reply, failure) -> failure == null && reply.hasBind()
                        ? decode(reply.getBind())
                        : new BindResult.Unknown(Reason.KEY_STORE_DOWN, "the batcher did not answer"));
    }

    /** Handles a bind request of another node. */
    CompletableFuture<WireBindReply> handleBind(WireBindRequest request) {
        CallerKey key = new CallerKey(request.getKeyHigh(), request.getKeyLow());
        KeyScope scope = new KeyScope(request.getScopeHigh(), request.getScopeLow());
        Optional<TicketId> ticket =
                Optional.of(request.getTicket()).filter(text -> !text.isEmpty()).map(TicketId::parse);
        Duration timeLeft = Duration.ofNanos(
                Math.min(request.getTimeoutNanos(), settings.timeout().toNanos()));
        return bindLocally(new KeyBinding(key, scope, ticket), timeLeft).thenApply(KeyBinder::encode);
    }

    private static WireBindReply encode(BindResult result) {
        WireBindReply.Builder reply = WireBindReply.newBuilder();
        if (result instanceof BindResult.Bound bound) {
            return reply.setKind(WireBindReply.Kind.BOUND)
                    .setTicket(bound.ticket().toString())
                    .build();
        }
        if (result instanceof BindResult.Closed) {
            return reply.setKind(WireBindReply.Kind.CLOSED).build();
        }
        if (result instanceof BindResult.InUse) {
            return reply.setKind(WireBindReply.Kind.IN_USE).build();
        }
        return reply.setKind(WireBindReply.Kind.UNKNOWN)
                .setDetail(((BindResult.Unknown) result).detail())
                .build();
    }

    private static BindResult decode(WireBindReply reply) {
        return switch (reply.getKind()) {
            case BOUND -> new BindResult.Bound(TicketId.parse(reply.getTicket()));
            case CLOSED -> new BindResult.Closed();
            case IN_USE -> new BindResult.InUse();
            case UNKNOWN, UNRECOGNIZED -> new BindResult.Unknown(Reason.KEY_STORE_DOWN, reply.getDetail());
        };
    }

    private long now() {
        return ports.timers().ticker().nanos();
    }
}

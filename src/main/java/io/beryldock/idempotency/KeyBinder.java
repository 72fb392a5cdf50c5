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
 * Binds callers' keys to tickets in the platform store, once for the whole deployment.
 *
 * <p>For each shard rendezvous hashing picks a node that gathers the bindings of all others into few writes. That is
 * for speed only: every node may write every shard, and safety is the store's compare-and-set. Called on the control
 * thread only.
 */
public final class KeyBinder {

    /** Nodes asked to bind before this node does it itself. */
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
     * Binds the key to the proposed ticket unless it is bound already; without a proposed ticket closes it.
     *
     * <p>A key that is bound or closed stays so for the retention of keys, whoever asks. After Unknown the store may
     * still bind the key to the proposed ticket, so that ticket must not be used for anything else.
     */
    public CompletableFuture<BindResult> bind(
            CallerKey key, KeyScope scope, Optional<TicketId> proposed, Duration timeLeft) {
        KeyBinding wanted = new KeyBinding(key, scope, proposed);
        Duration limit = timeLeft.compareTo(settings.timeout()) < 0 ? timeLeft : settings.timeout();
        return bindVia(batchers(shardOf(key)), wanted, now() + limit.toNanos());
    }

    private CompletableFuture<BindResult> bindVia(
            ImmutableList<NodeDescriptor> untried, KeyBinding wanted, long deadline) {
        Duration left = Duration.ofNanos(Math.max(0, deadline - now()));
        if (untried.isEmpty() || untried.get(0).equals(ports.self())) {
            return bindHere(wanted, left);
        }
        ImmutableList<NodeDescriptor> rest = untried.subList(1, untried.size());
        return ask(untried.get(0), wanted, left.dividedBy(untried.size() + 1))
                .thenComposeAsync(
                        result -> result instanceof BindResult.Unknown
                                ? bindVia(rest, wanted, deadline)
                                : CompletableFuture.completedFuture(result),
                        ports.control());
    }

    /** Binds with this node's own writes, for itself or as the batcher of others. */
    CompletableFuture<BindResult> bindHere(KeyBinding wanted, Duration timeLeft) {
        int shard = shardOf(wanted.key());
        shards.entrySet()
                .removeIf(entry -> entry.getKey() != shard && entry.getValue().idle());
        return shards.computeIfAbsent(shard, number -> KeyShard.create(number, ports, settings))
                .bind(wanted, timeLeft);
    }

    private int shardOf(CallerKey key) {
        return Math.floorMod(key.high(), settings.shards());
    }

    /** Ranks anew only when there is a new picture: thousands of nodes are not hashed for each key. */
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

    private CompletableFuture<BindResult> ask(NodeDescriptor batcher, KeyBinding wanted, Duration timeout) {
        WireBindRequest request = WireBindRequest.newBuilder()
                .setKeyHigh(wanted.key().high())
                .setKeyLow(wanted.key().low())
                .setScopeHigh(wanted.scope().high())
                .setScopeLow(wanted.scope().low())
                .setTicket(wanted.ticket().map(TicketId::toString).orElse(""))
                .setTimeoutNanos(timeout.toNanos())
                .build();
        return ports.peers()
                .ask(batcher, WireTicketRequest.newBuilder().setBind(request).build(), timeout)
                .handle((reply, failure) -> failure == null && reply.hasBind()
                        ? read(reply.getBind())
                        : new BindResult.Unknown(Reason.KEY_STORE_DOWN, "the batcher did not answer"));
    }

    /** Binds for another node. */
    CompletableFuture<WireBindReply> asked(WireBindRequest request) {
        CallerKey key = new CallerKey(request.getKeyHigh(), request.getKeyLow());
        KeyScope scope = new KeyScope(request.getScopeHigh(), request.getScopeLow());
        Optional<TicketId> ticket =
                Optional.of(request.getTicket()).filter(text -> !text.isEmpty()).map(TicketId::parse);
        Duration timeLeft = Duration.ofNanos(
                Math.min(request.getTimeoutNanos(), settings.timeout().toNanos()));
        return bindHere(new KeyBinding(key, scope, ticket), timeLeft).thenApply(KeyBinder::write);
    }

    private static WireBindReply write(BindResult result) {
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

    private static BindResult read(WireBindReply reply) {
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

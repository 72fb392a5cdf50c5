package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.peer.PeerException;
import io.beryldock.peer.PeerHandler;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.time.ManualTimerService;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Nodes in data centres on an injected clock, with real operator services, configurations and event rings, and a fake
 * network whose nodes can be silent or unreachable. Every run of a seed is the same.
 */
final class FakeDeployment {

    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration LONGEST = Duration.ofMinutes(2);
    private static final long START = Instant.parse("2026-02-09T08:00:00Z").toEpochMilli();

    final ManualTimerService timers = ManualTimerService.create();
    final Random random;
    final InMemoryPlatformStore store;
    final Map<String, FakeNode> nodes = new HashMap<>();
    final Set<String> silent = new HashSet<>();
    final Set<String> unreachable = new HashSet<>();
    final List<String> requests = new ArrayList<>();
    private final Map<InetSocketAddress, FakeNode> byAddress = new HashMap<>();
    private Directory directory = Directory.empty();
    int open;
    int mostOpen;
    long bytesAsked;
    long bytesAnswered;

    private FakeDeployment(long seed) {
        random = new Random(seed);
        store = InMemoryPlatformStore.create(timers, random);
    }

    /** So many nodes in each data centre, started and settled. */
    static FakeDeployment start(long seed, int nodesEach, String... dataCentres) {
        FakeDeployment deployment = new FakeDeployment(seed);
        for (String dataCentre : dataCentres) {
            for (int i = 1; i <= nodesEach; i++) {
                deployment.add(dataCentre + "-lists-" + i, dataCentre);
            }
        }
        deployment.publishDirectory();
        deployment.nodes.values().stream()
                .sorted((a, b) -> a.self.id().compareTo(b.self.id()))
                .forEach(FakeNode::start);
        deployment.advance(Duration.ofSeconds(10));
        return deployment;
    }

    private void add(String id, String dataCentre) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + nodes.size());
        FakeNode node = new FakeNode(this, id, DataCentre.of(dataCentre), address);
        nodes.put(id, node);
        byAddress.put(address, node);
    }

    void publishDirectory() {
        List<NodeDescriptor> descriptors = new ArrayList<>();
        List<TargetRecord> targets = new ArrayList<>();
        nodes.keySet().stream().sorted().map(nodes::get).forEach(node -> {
            descriptors.add(node.self);
            targets.add(node.target());
        });
        directory = Directory.of(descriptors, targets);
    }

    Directory directory() {
        return directory;
    }

    Instant wall() {
        return Instant.ofEpochMilli(
                START + Duration.ofNanos(timers.ticker().nanos()).toMillis());
    }

    void advance(Duration length) {
        timers.advance(length);
    }

    /** Has a node carry the statement out and moves the time until it has. */
    OperatorResponse ask(String node, String statement) {
        return finish(nodes.get(node).operators.handle("lien", statement));
    }

    <T> T finish(CompletableFuture<T> future) {
        for (long i = 0; !future.isDone() && i < LONGEST.dividedBy(STEP); i++) {
            timers.advance(STEP);
        }
        return future.getNow(null);
    }

    PeerTransport transport(FakeNode from) {
        return new FakeTransport(from);
    }

    /** Delivers at once; a silent node takes messages and never answers. */
    private final class FakeTransport implements PeerTransport {
        private final FakeNode from;

        FakeTransport(FakeNode from) {
            this.from = from;
        }

        @Override
        public CompletableFuture<ByteString> request(
                InetSocketAddress peer, PeerTopic topic, ByteString body, Duration timeout) {
            FakeNode to = byAddress.get(peer);
            String id = to.self.id().value();
            requests.add(from.self.id() + " to " + id);
            CompletableFuture<ByteString> reply = new CompletableFuture<>();
            if (unreachable.contains(id)) {
                reply.completeExceptionally(new PeerException(PeerException.Kind.NOT_SENT, "refused"));
                return reply;
            }
            bytesAsked += body.size();
            open++;
            mostOpen = Math.max(mostOpen, open);
            timers.after(
                    timeout,
                    () -> reply.completeExceptionally(new PeerException(PeerException.Kind.TIMED_OUT, "no reply")));
            if (!silent.contains(id)) {
                to.handlers.get(topic).handle(new FakeMessage(from.self.id(), body, reply));
            }
            return reply.whenComplete((answer, error) -> {
                open--;
                bytesAnswered += answer == null ? 0 : answer.size();
            });
        }

        @Override
        public void send(InetSocketAddress peer, PeerTopic topic, ByteString body) {
            FakeNode to = byAddress.get(peer);
            if (!silent.contains(to.self.id().value())
                    && !unreachable.contains(to.self.id().value())) {
                timers.after(
                        Duration.ofMillis(1),
                        () -> to.handlers
                                .get(topic)
                                .handle(new FakeMessage(from.self.id(), body, new CompletableFuture<>())));
            }
        }

        @Override
        public void registerHandler(PeerTopic topic, PeerHandler handler) {
            from.handlers.put(topic, handler);
        }
    }

    private record FakeMessage(NodeId from, ByteString body, CompletableFuture<ByteString> reply)
            implements PeerHandler.PeerMessage {

        @Override
        public String sender() {
            return from.value();
        }

        @Override
        public void reply(ByteString answer) {
            reply.complete(answer);
        }

        @Override
        public void onCancel(Runnable task) {
            // Nothing that a query does is worth ending early.
        }
    }

    /** Ids of the nodes, sorted. */
    ImmutableList<String> ids() {
        return ImmutableList.sortedCopyOf(nodes.keySet());
    }
}

package io.beryldock.store;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Simulated nodes that share one store, on manual timers; each node can be stopped. Not thread safe. */
public final class SharingFleet {

    private static final Duration MESSAGE_DELAY = Duration.ofMillis(1);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(800);

    private final FakeRegistry registry;
    private final ManualTimerService timers;
    private final Map<NodeId, Member> members = new LinkedHashMap<>();

    public SharingFleet(FakeRegistry registry, ManualTimerService timers) {
        this.registry = registry;
        this.timers = timers;
    }

    /** One node: its timers, its connection to the store, its sharing, and whether it exchanges messages. */
    private static final class Member {
        private final String centre;
        private final SuspendableTimers timers;
        private final FakeRegistry.View view;
        private StoreSharing sharing;
        private boolean stopped;

        Member(String centre, SuspendableTimers timers, FakeRegistry.View view) {
            this.centre = centre;
            this.timers = timers;
            this.view = view;
        }
    }

    /** Adds a node that does not follow a prefix yet; all nodes know it at once. */
    public StoreSharing add(String id, String centre) {
        NodeId self = NodeId.of(id);
        SuspendableTimers ownTimers = new SuspendableTimers(timers);
        Member member = new Member(centre, ownTimers, registry.view());
        members.put(self, member);
        member.sharing = StoreSharing.create(
                self,
                new StoreSharing.Ports(
                        member.view,
                        StoreRecovery.create(),
                        new Peers(self, centre),
                        ownTimers,
                        ownTimers.clock(),
                        new Random(id.hashCode())));
        return member.sharing;
    }

    /** Ends the node's process: its tasks run no more, and it exchanges no messages. */
    public void kill(String id) {
        Member member = members.get(NodeId.of(id));
        member.stopped = true;
        member.timers.setSuspended(true);
    }

    public FakeRegistry.View view(String id) {
        return members.get(NodeId.of(id)).view;
    }

    /** Stops the node's messages in both directions; the node still acts as a watcher if it is one. */
    public void stop(String id) {
        members.get(NodeId.of(id)).stopped = true;
    }

    /** Resumes the node's messages. */
    public void restart(String id) {
        members.get(NodeId.of(id)).stopped = false;
    }

    /** Suspends the node's monotonic clock and all of its tasks, or resumes them. */
    public void suspend(String id, boolean value) {
        members.get(NodeId.of(id)).timers.setSuspended(value);
    }

    int calls() {
        return members.values().stream().mapToInt(member -> member.view.calls()).sum();
    }

    int revisionReads() {
        return members.values().stream()
                .mapToInt(member -> member.view.revisionReads())
                .sum();
    }

    /** The connection of one node to the other nodes. */
    private final class Peers implements StorePeers {
        private final NodeId self;
        private final String centre;
        private final Random random;

        Peers(NodeId self, String centre) {
            this.self = self;
            this.centre = centre;
            this.random = new Random(self.hashCode());
        }

        @Override
        public ImmutableSet<NodeId> ownDataCentre() {
            ImmutableSet.Builder<NodeId> ownNodes = ImmutableSet.builder();
            members.forEach((id, member) -> {
                if (member.centre.equals(centre)) {
                    ownNodes.add(id);
                }
            });
            return ownNodes.build();
        }

        @Override
        public Optional<NodeId> randomRemoteNode() {
            List<NodeId> others = new ArrayList<>(members.keySet());
            others.removeAll(ownDataCentre());
            return others.isEmpty() ? Optional.empty() : Optional.of(others.get(random.nextInt(others.size())));
        }

        @Override
        public CompletableFuture<ByteString> ask(NodeId node, ByteString question) {
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            timers.after(
                    ANSWER_TIMEOUT,
                    () -> answer.completeExceptionally(new PlatformException("no answer from the node")));
            deliver(node, question, answer::complete);
            return answer;
        }

        @Override
        public void send(NodeId node, ByteString message) {
            deliver(node, message, unused -> {});
        }

        private void deliver(NodeId node, ByteString body, Consumer<ByteString> reply) {
            Member receiver = members.get(node);
            if (!receiver.stopped && !members.get(self).stopped) {
                timers.after(MESSAGE_DELAY, () -> receiver.sharing.onMessage(self, body, reply));
            }
        }
    }
}

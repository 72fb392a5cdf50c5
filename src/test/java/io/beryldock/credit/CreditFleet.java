package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.call.NodeRanking;
import io.beryldock.call.ServiceName;
import io.beryldock.share.Claim;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.BiPredicate;
import java.util.function.Supplier;

/** Simulated nodes of several data centres that allocate credits, on a manual clock. Not thread safe. */
final class CreditFleet {

    static final ServiceName SCARCE = ServiceName.of("parcels");

    private static final Duration TRANSIT_TIME = Duration.ofMillis(1);

    private final ManualTimerService timers;
    private final boolean enabled;
    private final Map<NodeId, Member> members = new LinkedHashMap<>();
    private BiPredicate<NodeId, NodeId> reachable = (from, to) -> true;
    private Duration transitTime = TRANSIT_TIME;
    private boolean duplicated;
    private int messages;
    private long bytes;

    CreditFleet(ManualTimerService timers, boolean enabled) {
        this.timers = timers;
        this.enabled = enabled;
    }

    private record Member(String centre, CreditNode node, Optional<ServiceName> target) {}

    /** Adds a node whose data centre is the prefix of its id; {@code gate} is present if the node has a target. */
    CreditNode add(NodeId id, Supplier<Optional<GateLoad>> gate) {
        String centre = id.value().substring(0, id.value().indexOf('-'));
        CreditNode node = CreditNode.create(new CreditNode.Ports(
                new CreditSettings(enabled), new Peers(id, centre), timers, CreditFleet::byRank, gate));
        members.put(id, new Member(centre, node, gate.get().map(GateLoad::service)));
        return node;
    }

    /**
     * Stand-in for the production division: serves ranks in order and grants each claim within a rank the same
     * fraction.
     */
    static ImmutableList<Double> byRank(double amount, List<Claim<Party>> claims) {
        double[] wanted = new double[8];
        claims.forEach(claim -> wanted[claim.rank()] += claim.wanted());
        double[] share = new double[8];
        double left = amount;
        for (int rank = 0; rank < share.length; rank++) {
            share[rank] = wanted[rank] > 0 ? Math.min(1, left / wanted[rank]) : 0;
            left -= share[rank] * wanted[rank];
        }
        return claims.stream()
                .map(claim -> share[claim.rank()] * claim.wanted())
                .collect(ImmutableList.toImmutableList());
    }

    NodeId home(String centre) {
        return ranked(centre).get(0);
    }

    private ImmutableList<NodeId> ranked(String centre) {
        List<NodeId> nodes = new ArrayList<>();
        members.forEach((id, member) -> {
            if (member.centre().equals(centre)) {
                nodes.add(id);
            }
        });
        return NodeRanking.of(nodes, SCARCE.value());
    }

    CreditNode node(NodeId id) {
        return members.get(id).node();
    }

    String centreOf(NodeId id) {
        return members.get(id).centre();
    }

    /** Sets which nodes can reach each other from now on. */
    void setReachable(BiPredicate<NodeId, NodeId> value) {
        reachable = value;
    }

    /** Sets the transit time of messages and whether each question is delivered twice. */
    void setTransit(Duration value, boolean duplicate) {
        transitTime = value;
        duplicated = duplicate;
    }

    int messages() {
        return messages;
    }

    /** Bytes of all questions and answers, without their frames. */
    long bytes() {
        return bytes;
    }

    /** Access of one node to the others of the fleet. */
    private final class Peers implements CreditPeers {
        private final NodeId self;
        private final String centre;

        Peers(NodeId self, String centre) {
            this.self = self;
            this.centre = centre;
        }

        @Override
        public NodeId self() {
            return self;
        }

        @Override
        public ImmutableList<NodeId> homes(ServiceName service) {
            return ranked(centre);
        }

        @Override
        public ImmutableList<NodeId> homesElsewhere(ServiceName service) {
            return members.values().stream()
                    .map(Member::centre)
                    .distinct()
                    .filter(other -> !other.equals(centre))
                    .map(CreditFleet.this::home)
                    .collect(ImmutableList.toImmutableList());
        }

        @Override
        public int targets(ServiceName service) {
            return (int) members.values().stream()
                    .filter(member -> member.centre().equals(centre))
                    .filter(member -> member.target().equals(Optional.of(service)))
                    .count();
        }

        @Override
        public CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit) {
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            timers.after(limit, () -> answer.completeExceptionally(new TimeoutException("no answer of " + node)));
            deliver(node, question, answer);
            if (duplicated) {
                deliver(node, question, answer);
            }
            return answer;
        }

        private void deliver(NodeId node, ByteString question, CompletableFuture<ByteString> answer) {
            messages += 2;
            bytes += question.size();
            timers.after(transitTime, () -> {
                if (reachable.test(self, node)) {
                    node(node).onMessage(self, question, reply -> reply(node, reply, answer));
                }
            });
        }

        private void reply(NodeId node, ByteString reply, CompletableFuture<ByteString> answer) {
            bytes += reply.size();
            timers.after(transitTime, () -> {
                if (reachable.test(node, self)) {
                    answer.complete(reply);
                }
            });
        }
    }
}

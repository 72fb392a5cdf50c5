package io.beryldock.quota;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.call.NodeRanking;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.organisation.OrganisationTable;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;

/** Nodes of three data centres that hand out quotas, on a clock of the test's. Not thread safe. */
final class QuotaFleet {

    static final QuotaTerms TERMS = new QuotaTerms(5, 0.1, 20, 3);

    private static final Duration WAY = Duration.ofMillis(1);

    private final ManualTimerService timers;
    private final Random random;
    private final Map<NodeId, Member> members = new LinkedHashMap<>();
    private OrganisationTable organisations = OrganisationTable.empty();
    private BiPredicate<NodeId, NodeId> linked = (from, to) -> true;
    private int messages;

    QuotaFleet(ManualTimerService timers, long seed) {
        this.timers = timers;
        this.random = new Random(seed);
    }

    private record Member(String centre, QuotaKeeper keeper) {}

    /** A request that was let through, or not. */
    record Ended(long at, boolean granted) {}

    void start(int nodes) {
        for (int i = 0; i < nodes; i++) {
            String centre = "c" + i % 3;
            NodeId id = NodeId.of(centre + "-n" + i);
            members.put(id, new Member(centre, keeper(id, centre)));
        }
    }

    private QuotaKeeper keeper(NodeId id, String centre) {
        return QuotaKeeper.create(new QuotaKeeper.Ports(
                TERMS, new Peers(id, centre), () -> organisations, timers.ticker(), new Random(id.hashCode())));
    }

    /** The node has lost all that it knew. */
    void restart(NodeId id) {
        String centre = members.get(id).centre();
        members.put(id, new Member(centre, keeper(id, centre)));
    }

    void setOrganisations(OrganisationTable table) {
        organisations = table;
    }

    /** Which nodes reach each other from now on. */
    void setLinked(BiPredicate<NodeId, NodeId> value) {
        linked = value;
    }

    ImmutableList<NodeId> nodes() {
        return ImmutableList.copyOf(members.keySet());
    }

    String centreOf(NodeId id) {
        return members.get(id).centre();
    }

    int messages() {
        return messages;
    }

    /** A request of the organisation comes to the node; its end is noted. */
    void request(NodeId node, Organisation organisation, List<Ended> ended) {
        members.get(node)
                .keeper()
                .admit(organisation)
                .thenAccept(decision -> ended.add(new Ended(timers.ticker().nanos(), decision.granted())));
    }

    /** Most requests that were let through in any window of the terms. */
    static int mostInAWindow(List<Ended> ended) {
        long window = (long) (TERMS.windowSeconds() * 1e9);
        List<Long> granted =
                ended.stream().filter(Ended::granted).map(Ended::at).sorted().toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < granted.size(); last++) {
            while (granted.get(last) - granted.get(first) >= window) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** What the terms allow in a window. */
    static double allowed(Organisation organisation) {
        double rated = organisation.quota().ratePerSecond() * TERMS.windowSeconds();
        return (rated + organisation.quota().burst()) * (1 + TERMS.overage()) + TERMS.slack();
    }

    /** What one node of the fleet asks of the others. */
    private final class Peers implements QuotaPeers {
        private final NodeId self;
        private final String centre;

        Peers(NodeId self, String centre) {
            this.self = self;
            this.centre = centre;
        }

        private ImmutableList<NodeId> of(String name) {
            return members.entrySet().stream()
                    .filter(entry -> entry.getValue().centre().equals(name))
                    .map(Map.Entry::getKey)
                    .collect(ImmutableList.toImmutableList());
        }

        @Override
        public NodeId self() {
            return self;
        }

        @Override
        public ImmutableList<NodeId> homes(OrganisationName organisation) {
            return NodeRanking.of(of(centre), organisation.value());
        }

        @Override
        public ImmutableList<NodeId> homesElsewhere(OrganisationName organisation) {
            List<NodeId> first = new ArrayList<>();
            for (String other : List.of("c0", "c1", "c2")) {
                if (!other.equals(centre)) {
                    first.add(NodeRanking.of(of(other), organisation.value()).get(0));
                }
            }
            return ImmutableList.copyOf(first);
        }

        @Override
        public int nodes() {
            return members.size();
        }

        @Override
        public CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit) {
            messages++;
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            timers.after(limit, () -> answer.completeExceptionally(new IllegalStateException("no answer")));
            timers.after(way(), () -> {
                if (linked.test(self, node)) {
                    members.get(node).keeper().onMessage(self, question, body -> {
                        if (linked.test(node, self)) {
                            timers.after(way(), () -> answer.complete(body));
                        }
                    });
                }
            });
            return answer;
        }

        private Duration way() {
            return WAY.plusNanos(random.nextInt(1_000_000));
        }
    }
}

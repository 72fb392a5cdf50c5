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

/** Simulated nodes of three data centres that grant quotas, on a manual clock. Not thread safe. */
final class QuotaFleet {

    static final QuotaTerms TERMS = new QuotaTerms(5, 0.1, 20, 3);

    private static final Duration MIN_TRANSIT_TIME = Duration.ofMillis(1);

    private final ManualTimerService timers;
    private final Random random;
    private final Map<NodeId, Member> members = new LinkedHashMap<>();
    private OrganisationTable organisations = OrganisationTable.empty();
    private BiPredicate<NodeId, NodeId> reachable = (from, to) -> true;
    private int messages;

    QuotaFleet(ManualTimerService timers, long seed) {
        this.timers = timers;
        this.random = new Random(seed);
    }

    private record Member(String centre, QuotaLimiter limiter) {}

    /** A request that was admitted or refused. */
    record Outcome(long at, boolean granted) {}

    void start(int nodes) {
        for (int i = 0; i < nodes; i++) {
            String centre = "c" + i % 3;
            NodeId id = NodeId.of(centre + "-n" + i);
            members.put(id, new Member(centre, limiter(id, centre)));
        }
    }

    private QuotaLimiter limiter(NodeId id, String centre) {
        return QuotaLimiter.create(new QuotaLimiter.Ports(
                TERMS, new Peers(id, centre), () -> organisations, timers.ticker(), new Random(id.hashCode())));
    }

    /** Restarts the node, which loses all its state. */
    void restart(NodeId id) {
        String centre = members.get(id).centre();
        members.put(id, new Member(centre, limiter(id, centre)));
    }

    void setOrganisations(OrganisationTable table) {
        organisations = table;
    }

    /** Sets which nodes can reach each other from now on. */
    void setReachable(BiPredicate<NodeId, NodeId> value) {
        reachable = value;
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

    /** Sends a request of the organisation to the node and records its outcome. */
    void request(NodeId node, Organisation organisation, List<Outcome> outcomes) {
        members.get(node)
                .limiter()
                .admit(organisation)
                .thenAccept(decision -> outcomes.add(new Outcome(timers.ticker().nanos(), decision.granted())));
    }

    /** Largest number of requests that were admitted in any window of the terms. */
    static int maxPerWindow(List<Outcome> outcomes) {
        long window = (long) (TERMS.windowSeconds() * 1e9);
        List<Long> granted = outcomes.stream()
                .filter(Outcome::granted)
                .map(Outcome::at)
                .sorted()
                .toList();
        int max = 0;
        int first = 0;
        for (int last = 0; last < granted.size(); last++) {
            while (granted.get(last) - granted.get(first) >= window) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    /** Number of requests that the terms allow in a window. */
    static double allowed(Organisation organisation) {
        double ratePerWindow = organisation.quota().ratePerSecond() * TERMS.windowSeconds();
        return (ratePerWindow + organisation.quota().burst()) * (1 + TERMS.overage()) + TERMS.slack();
    }

    /** Access of one node to the others of the fleet. */
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
            timers.after(transitTime(), () -> {
                if (reachable.test(self, node)) {
                    members.get(node).limiter().onMessage(self, question, body -> {
                        if (reachable.test(node, self)) {
                            timers.after(transitTime(), () -> answer.complete(body));
                        }
                    });
                }
            });
            return answer;
        }

        private Duration transitTime() {
            return MIN_TRANSIT_TIME.plusNanos(random.nextInt(1_000_000));
        }
    }
}

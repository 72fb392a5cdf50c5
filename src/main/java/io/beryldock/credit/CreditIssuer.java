package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.share.Division;
import io.beryldock.time.TimerService;
import io.beryldock.wire.CreditAnswer;
import io.beryldock.wire.CreditClaims;
import io.beryldock.wire.CreditQuestion;
import io.beryldock.wire.CreditReport;
import io.beryldock.wire.CreditSummary;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Answers credit questions for the services whose home node this node is: collects the claims of a round, divides the
 * capacity, and answers all claims at the end of the round.
 *
 * <p>Invariant: timers run, and other home nodes are asked, only while claims wait for the end of a round. Thread safe.
 */
final class CreditIssuer {

    /**
     * Timeout for the home nodes of other data centres. A summary that arrives after the end of the round counts in the
     * next one.
     */
    private static final Duration REMOTE_HOME_TIMEOUT = Duration.ofMillis(200);

    /**
     * Maximum number of services for which this node keeps home state at the same time; beyond it, the least recently
     * used one without an open round is evicted.
     */
    private static final int MAX_SERVICES = 64;

    private static final double NANOS_PER_MICRO = 1000;

    private final boolean enabled;
    private final CreditPeers peers;
    private final CreditMessenger messenger;
    private final Division<Party> division;
    private final TimerService timers;
    private final Map<ServiceName, HomeState> homeStates = new HashMap<>();

    CreditIssuer(
            boolean enabled,
            CreditPeers peers,
            CreditMessenger messenger,
            Division<Party> division,
            TimerService timers) {
        this.enabled = enabled;
        this.peers = peers;
        this.messenger = messenger;
        this.division = division;
        this.timers = timers;
    }

    /** Home of one service and the entry nodes that wait for the end of its round. Guarded by the issuer. */
    private static final class HomeState {
        private final CreditHome home;
        private final Map<NodeId, CompletableFuture<CreditAnswer>> waiting = new HashMap<>();
        private boolean open;
        private int participants;
        private long roundNanos;
        private long usedAt;

        HomeState(CreditHome home) {
            this.home = home;
        }
    }

    /** Answers a question of this node itself. */
    CompletableFuture<CreditAnswer> answerOwn(CreditQuestion question) {
        return answer(peers.self(), question);
    }

    CompletableFuture<CreditAnswer> answer(NodeId sender, CreditQuestion question) {
        if (!enabled) {
            return CompletableFuture.completedFuture(CreditAnswer.getDefaultInstance());
        }
        ServiceName service = ServiceName.of(question.getService());
        return switch (question.getContentCase()) {
            case CLAIMS -> claim(service, sender, question.getClaims());
            case REPORT -> report(service, sender, question.getReport());
            case SUMMARY, CONTENT_NOT_SET -> summary(service, sender);
        };
    }

    private synchronized CompletableFuture<CreditAnswer> report(ServiceName service, NodeId gate, CreditReport report) {
        double mean = report.getMeanMicros() * NANOS_PER_MICRO;
        GateCapacity.Report decoded =
                new GateCapacity.Report(report.getLimit(), report.getRunning(), report.getQueued(), mean);
        homeState(service).home.report(gate, decoded, now());
        return CompletableFuture.completedFuture(CreditAnswer.getDefaultInstance());
    }

    /**
     * Returns the summary only to a home node that this node counts as one too: otherwise both could grant the capacity
     * of this node's data centre.
     */
    private CompletableFuture<CreditAnswer> summary(ServiceName service, NodeId home) {
        CreditAnswer.Builder answer = CreditAnswer.newBuilder();
        if (peers.homesElsewhere(service).contains(home)) {
            int targets = peers.targets(service);
            synchronized (this) {
                answer.setSummary(
                        homeState(service).home.summary(targets, now()).encode());
            }
        }
        return CompletableFuture.completedFuture(answer.build());
    }

    private CompletableFuture<CreditAnswer> claim(ServiceName service, NodeId entry, CreditClaims claims) {
        CompletableFuture<CreditAnswer> answer = new CompletableFuture<>();
        Optional<CompletableFuture<CreditAnswer>> earlier;
        synchronized (this) {
            HomeState state = homeState(service);
            if (!state.open) {
                open(service, state);
            }
            state.home.claim(entry, decode(claims), now());
            earlier = Optional.ofNullable(state.waiting.put(entry, answer));
        }
        // A repeated question and the earlier one get the same answer; the entry node counts only one of them.
        earlier.ifPresent(repeated -> answer.thenAccept(repeated::complete));
        return answer;
    }

    /** Opens a round and schedules its end. Guarded by this. */
    private void open(ServiceName service, HomeState state) {
        int participants = state.participants + peers.homesElsewhere(service).size();
        state.open = true;
        state.roundNanos = CreditRound.nanos(participants);
        state.home.open(state.roundNanos, now());
        timers.after(Duration.ofNanos(state.roundNanos / 2), () -> requestSummaries(service));
        timers.after(Duration.ofNanos(state.roundNanos), () -> close(service));
    }

    private static ImmutableList<CreditAmount> decode(CreditClaims claims) {
        return claims.getClaimsList().stream()
                .map(claim -> new CreditAmount(CreditMessenger.claimant(claim), claim.getWanted() * NANOS_PER_MICRO))
                .collect(ImmutableList.toImmutableList());
    }

    private HomeState homeState(ServiceName service) {
        HomeState existing = homeStates.get(service);
        if (existing == null) {
            evictLeastRecentlyUsed();
            existing = new HomeState(new CreditHome(division));
            homeStates.put(service, existing);
        }
        existing.usedAt = now();
        return existing;
    }

    private void evictLeastRecentlyUsed() {
        if (homeStates.size() < MAX_SERVICES) {
            return;
        }
        homeStates.entrySet().stream()
                .filter(entry -> !entry.getValue().open)
                .min((one, other) -> Long.compare(one.getValue().usedAt, other.getValue().usedAt))
                .ifPresent(unused -> homeStates.remove(unused.getKey()));
    }

    private long now() {
        return timers.ticker().nanos();
    }

    /**
     * Requests the summaries of other home nodes. Half a round after its opening, most of its claims have arrived here
     * and at the other home nodes.
     */
    private void requestSummaries(ServiceName service) {
        CreditQuestion question = CreditQuestion.newBuilder()
                .setService(service.value())
                .setSummary(CreditSummary.getDefaultInstance())
                .build();
        // Silent home nodes are asked again in each round; their last summaries are left out once they expire.
        peers.homesElsewhere(service)
                .forEach(home -> messenger
                        .ask(home, question, REMOTE_HOME_TIMEOUT, this::answerOwn)
                        .thenAccept(answer -> onSummary(service, home, answer)));
    }

    private synchronized void onSummary(ServiceName service, NodeId home, CreditAnswer answer) {
        if (answer.hasSummary()) {
            homeState(service).home.onRemoteSummary(home, HomeSummary.decode(answer.getSummary()), now());
        }
    }

    private void close(ServiceName service) {
        long roundNanos;
        Map<NodeId, CompletableFuture<CreditAnswer>> waiting;
        CreditHome.Round round;
        synchronized (this) {
            HomeState state = homeState(service);
            roundNanos = state.roundNanos;
            waiting = Map.copyOf(state.waiting);
            state.waiting.clear();
            state.participants = waiting.size();
            state.open = false;
            round = state.home.close(peers.targets(service), now());
        }
        waiting.forEach((entry, answer) -> answer.complete(encode(round, entry, roundNanos)));
    }

    private static CreditAnswer encode(CreditHome.Round round, NodeId entry, long roundNanos) {
        CreditAnswer.Builder answer = CreditAnswer.newBuilder()
                .setKnown(round.known())
                .setShort(round.isShort())
                .setRoundMillis((int) TimeUnit.NANOSECONDS.toMillis(roundNanos));
        round.granted()
                .getOrDefault(entry, ImmutableList.of())
                .forEach(nanos -> answer.addGrantedMicros((long) (nanos / NANOS_PER_MICRO)));
        return answer.build();
    }

    synchronized ImmutableList<CreditSnapshot.HomeRow> snapshot() {
        long now = now();
        return homeStates.entrySet().stream()
                .map(entry -> entry.getValue().home.snapshot(entry.getKey().value(), now))
                .collect(ImmutableList.toImmutableList());
    }
}

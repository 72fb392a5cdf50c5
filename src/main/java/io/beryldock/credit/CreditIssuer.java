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
 * Answers questions on credits at the homes that this node is: gathers the claims of a round, divides, and answers them
 * all at its end.
 *
 * <p>Invariant: a timer runs, and other homes are asked, only while claims wait for the end of a round. Thread safe.
 */
final class CreditIssuer {

    /** Longest wait for the homes of other data centres; one that is later counts in the next round. */
    private static final Duration HOME_LIMIT = Duration.ofMillis(200);

    /** Services whose home the node may be at the same time; beyond them the longest unused one is forgotten. */
    private static final int MAX_SERVICES = 64;

    private static final double NANOS_PER_MICRO = 1000;

    private final boolean enabled;
    private final CreditPeers peers;
    private final CreditMessenger messenger;
    private final Division<Party> division;
    private final TimerService timers;
    private final Map<ServiceName, Desk> desks = new HashMap<>();

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

    /** A home and the entries that wait for the end of its round. Guarded by the issuer. */
    private static final class Desk {
        private final CreditHome home;
        private final Map<NodeId, CompletableFuture<CreditAnswer>> waiting = new HashMap<>();
        private boolean open;
        private int askers;
        private long roundNanos;
        private long usedAt;

        Desk(CreditHome home) {
            this.home = home;
        }
    }

    /** Answers this node itself. */
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
            case SUMMARY, CONTENT_NOT_SET -> summarise(service, sender);
        };
    }

    private synchronized CompletableFuture<CreditAnswer> report(ServiceName service, NodeId gate, CreditReport report) {
        double mean = report.getMeanMicros() * NANOS_PER_MICRO;
        GateRoom.Report told = new GateRoom.Report(report.getLimit(), report.getRunning(), report.getQueued(), mean);
        desk(service).home.report(gate, told, now());
        return CompletableFuture.completedFuture(CreditAnswer.getDefaultInstance());
    }

    /** Homes count each other or not at all: else the room of this one would be given out by both. */
    private CompletableFuture<CreditAnswer> summarise(ServiceName service, NodeId home) {
        CreditAnswer.Builder answer = CreditAnswer.newBuilder();
        if (peers.homesElsewhere(service).contains(home)) {
            int targets = peers.targets(service);
            synchronized (this) {
                answer.setSummary(desk(service).home.summary(targets, now()).encode());
            }
        }
        return CompletableFuture.completedFuture(answer.build());
    }

    private CompletableFuture<CreditAnswer> claim(ServiceName service, NodeId entry, CreditClaims claims) {
        CompletableFuture<CreditAnswer> answer = new CompletableFuture<>();
        Optional<CompletableFuture<CreditAnswer>> earlier;
        synchronized (this) {
            Desk desk = desk(service);
            if (!desk.open) {
                open(service, desk);
            }
            desk.home.claim(entry, decode(claims), now());
            earlier = Optional.ofNullable(desk.waiting.put(entry, answer));
        }
        // Whoever repeats a question counts one answer, and this is the one for both.
        earlier.ifPresent(repeated -> answer.thenAccept(repeated::complete));
        return answer;
    }

    /** Guarded by this. */
    private void open(ServiceName service, Desk desk) {
        int askers = desk.askers + peers.homesElsewhere(service).size();
        desk.open = true;
        desk.roundNanos = CreditRound.nanos(askers);
        desk.home.open(desk.roundNanos, now());
        timers.after(Duration.ofNanos(desk.roundNanos / 2), () -> askOthers(service));
        timers.after(Duration.ofNanos(desk.roundNanos), () -> close(service));
    }

    private static ImmutableList<WantedCredit> decode(CreditClaims claims) {
        return claims.getClaimsList().stream()
                .map(claim -> new WantedCredit(CreditMessenger.claimant(claim), claim.getWanted() * NANOS_PER_MICRO))
                .collect(ImmutableList.toImmutableList());
    }

    private Desk desk(ServiceName service) {
        Desk known = desks.get(service);
        if (known == null) {
            forgetUnused();
            known = new Desk(new CreditHome(division));
            desks.put(service, known);
        }
        known.usedAt = now();
        return known;
    }

    private void forgetUnused() {
        if (desks.size() < MAX_SERVICES) {
            return;
        }
        desks.entrySet().stream()
                .filter(entry -> !entry.getValue().open)
                .min((one, other) -> Long.compare(one.getValue().usedAt, other.getValue().usedAt))
                .ifPresent(unused -> desks.remove(unused.getKey()));
    }

    private long now() {
        return timers.ticker().nanos();
    }

    /** Half a round after its opening most of its claims are here and at the other homes. */
    private void askOthers(ServiceName service) {
        CreditQuestion question = CreditQuestion.newBuilder()
                .setService(service.value())
                .setSummary(CreditSummary.getDefaultInstance())
                .build();
        // A home that is silent is asked again each round: its silence is what ends its part.
        peers.homesElsewhere(service)
                .forEach(home -> messenger
                        .ask(home, question, HOME_LIMIT, this::answerOwn)
                        .thenAccept(answer -> hear(service, home, answer)));
    }

    private synchronized void hear(ServiceName service, NodeId home, CreditAnswer answer) {
        if (answer.hasSummary()) {
            desk(service).home.heard(home, HomeSummary.decode(answer.getSummary()), now());
        }
    }

    private void close(ServiceName service) {
        long roundNanos;
        Map<NodeId, CompletableFuture<CreditAnswer>> waiting;
        CreditHome.Round round;
        synchronized (this) {
            Desk desk = desk(service);
            roundNanos = desk.roundNanos;
            waiting = Map.copyOf(desk.waiting);
            desk.waiting.clear();
            desk.askers = waiting.size();
            desk.open = false;
            round = desk.home.close(peers.targets(service), now());
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
        return desks.entrySet().stream()
                .map(entry -> entry.getValue().home.snapshot(entry.getKey().value(), now))
                .collect(ImmutableList.toImmutableList());
    }
}

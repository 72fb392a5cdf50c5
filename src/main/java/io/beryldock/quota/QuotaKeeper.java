package io.beryldock.quota;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.organisation.OrganisationTable;
import io.beryldock.time.Ticker;
import io.beryldock.wire.QuotaAnswer;
import io.beryldock.wire.QuotaQuestion;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps the requests of organisations within their quotas, over all nodes together.
 *
 * <p>Each data centre has its part of a quota, and in it one node, the organisation's home, makes tokens at that part's
 * rate. Nodes at which requests come take some ahead, by demand, and use them for a short time. A home that has run out
 * takes what another data centre has to spare. So a cut leaves every side with what it has; no side can double it. Where
 * no home answers, a node goes by an even part of its own.
 *
 * <p>Thread safe.
 */
public final class QuotaKeeper {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /** How long a node that did not answer is passed over: longer than most restarts. */
    private static final long PASSED_OVER_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Nodes of a data centre that may be an organisation's home. Each that takes over begins with a bucket of its own, so
     * that a long row of them, each held for silent in turn, would give the quota out many times.
     */
    private static final int HOMES = 2;

    /** Longest wait for a home: some ten times the way and back on a busy VM; requests wait meanwhile. */
    private static final Duration HOME_LIMIT = Duration.ofMillis(150);

    /**
     * Longest wait for the homes in other data centres, well below that for the home that asks them: else it would be
     * held for silent itself when a data centre is cut off.
     */
    private static final Duration LOAN_LIMIT = Duration.ofMillis(50);

    /** Shortest time for which a home that has none left is not asked again: bounds messages under a flood. */
    private static final long SHORTEST_EMPTY_MILLIS = 40;

    /** Range of the additional wait told to refused callers, so that they don't come back together. */
    private static final int SPREAD_MILLIS = 600;

    private static final CompletableFuture<QuotaDecision> WITHIN =
            CompletableFuture.completedFuture(QuotaDecision.within());

    private final Ports ports;
    private final QuotaHome home;
    private final Map<OrganisationName, QuotaShare> shares = new HashMap<>();
    private final Map<OrganisationName, TokenBucket> ownParts = new HashMap<>();
    private final Map<OrganisationName, Long> vainBorrowing = new HashMap<>();
    private final Map<NodeId, Long> silentSince = new HashMap<>();

    private QuotaKeeper(Ports ports) {
        this.ports = ports;
        this.home = new QuotaHome(ports.terms(), ports.ticker().nanos());
    }

    /** What the keeper works with; the generator is thread safe. */
    public record Ports(
            QuotaTerms terms,
            QuotaPeers peers,
            Supplier<OrganisationTable> organisations,
            Ticker ticker,
            RandomGenerator random) {}

    public static QuotaKeeper create(Ports ports) {
        return new QuotaKeeper(ports);
    }

    /** Whether one request of the organisation may run now; decided at once where this node holds tokens. */
    public CompletableFuture<QuotaDecision> admit(Organisation organisation) {
        if (organisation.quota().isUnlimited()) {
            return WITHIN;
        }
        CompletableFuture<QuotaDecision> decision;
        boolean low;
        synchronized (this) {
            long now = now();
            QuotaShare share = share(organisation);
            share.onDemand(now, life(organisation));
            decision = decide(share, now);
            low = share.isLow(now);
            if (low) {
                share.onAsked();
            }
        }
        if (low) {
            ask(organisation, 0);
        }
        return decision;
    }

    private CompletableFuture<QuotaDecision> decide(QuotaShare share, long now) {
        if (!share.hasWaiting() && share.take(now)) {
            return WITHIN;
        }
        long empty = share.emptyFor(now);
        return empty > 0 ? CompletableFuture.completedFuture(over(empty)) : share.await();
    }

    private QuotaDecision over(long emptyNanos) {
        return QuotaDecision.over(TimeUnit.NANOSECONDS.toMillis(emptyNanos)
                + SHORTEST_EMPTY_MILLIS
                + ports.random().nextInt(SPREAD_MILLIS));
    }

    /** A request that was admitted has not run. */
    public synchronized void giveBack(Organisation organisation) {
        if (!organisation.quota().isUnlimited()) {
            share(organisation).giveBack(now());
        }
    }

    private QuotaShare share(Organisation organisation) {
        QuotaShare share =
                shares.computeIfAbsent(organisation.name(), unused -> new QuotaShare(organisation.quota(), now()));
        share.setQuota(organisation.quota());
        return share;
    }

    private long life(Organisation organisation) {
        return ports.terms().lifeNanos(organisation.quota());
    }

    private long now() {
        return ports.ticker().nanos();
    }

    /** Asks the home for tokens; the next one when it does not answer. */
    private void ask(Organisation organisation, int homesTried) {
        long askedAt = now();
        int wanted;
        int unused;
        Optional<NodeId> asked;
        synchronized (this) {
            QuotaShare share = share(organisation);
            wanted = share.wanted(life(organisation));
            unused = share.takeUnused(askedAt);
            asked = homesTried < HOMES ? homeOf(organisation) : Optional.empty();
        }
        if (asked.isEmpty()) {
            takeGrant(organisation, askedAt, ownPart(organisation, wanted));
            return;
        }
        QuotaQuestion question = QuotaQuestion.newBuilder()
                .setOrganisation(organisation.name().value())
                .setWanted(wanted)
                .setUnused(unused)
                .build();
        send(asked.get(), question, HOME_LIMIT).whenComplete((answer, failure) -> {
            if (failure == null) {
                takeGrant(organisation, askedAt, answer);
            } else {
                passOver(asked.get());
                ask(organisation, homesTried + 1);
            }
        });
    }

    private CompletableFuture<QuotaAnswer> send(NodeId node, QuotaQuestion question, Duration limit) {
        if (node.equals(ports.peers().self())) {
            return answer(question);
        }
        return ports.peers().ask(node, question.toByteString(), limit).thenApply(QuotaKeeper::readAnswer);
    }

    private static QuotaAnswer readAnswer(ByteString body) {
        try {
            return QuotaAnswer.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the answer on a quota is malformed", e);
        }
    }

    private Optional<NodeId> homeOf(Organisation organisation) {
        return ports.peers().homes(organisation.name()).stream()
                .limit(HOMES)
                .filter(node -> !isSilent(node))
                .findFirst();
    }

    private boolean isSilent(NodeId node) {
        Long since = silentSince.get(node);
        return since != null && now() - since <= PASSED_OVER_NANOS;
    }

    private synchronized void passOver(NodeId node) {
        silentSince.put(node, now());
        log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "node %s does not answer on quotas and is passed over", node);
    }

    private void takeGrant(Organisation organisation, long askedAt, QuotaAnswer grant) {
        long now = now();
        boolean again;
        ImmutableList.Builder<Runnable> told = ImmutableList.builder();
        synchronized (this) {
            QuotaShare share = share(organisation);
            share.onGranted(grant.getGranted(), askedAt, life(organisation));
            while (share.hasWaiting() && share.take(now)) {
                CompletableFuture<QuotaDecision> served = share.nextWaiting();
                told.add(() -> served.complete(QuotaDecision.within()));
            }
            if (grant.getGranted() == 0) {
                refuseWaiting(share, now + TimeUnit.MILLISECONDS.toNanos(grant.getEmptyMillis()), told);
            }
            again = share.isLow(now) && share.hasWaiting();
            if (again) {
                share.onAsked();
            }
        }
        told.build().forEach(Runnable::run);
        if (again) {
            ask(organisation, 0);
        }
    }

    private void refuseWaiting(QuotaShare share, long until, ImmutableList.Builder<Runnable> told) {
        share.onEmpty(until);
        while (share.hasWaiting()) {
            CompletableFuture<QuotaDecision> refused = share.nextWaiting();
            QuotaDecision decision = over(Math.max(0, share.emptyFor(now())));
            told.add(() -> refused.complete(decision));
        }
    }

    /** No home answers: this node goes by the part that it would have if all nodes had the same. */
    private synchronized QuotaAnswer ownPart(Organisation organisation, int wanted) {
        long now = now();
        double rate =
                organisation.quota().ratePerSecond() / Math.max(1, ports.peers().nodes());
        double capacity = Math.max(1, rate);
        TokenBucket part =
                ownParts.computeIfAbsent(organisation.name(), unused -> new TokenBucket(rate, capacity, capacity, now));
        part.setTerms(rate, capacity, now);
        int granted = part.take(wanted, now);
        return QuotaAnswer.newBuilder()
                .setGranted(granted)
                .setEmptyMillis(granted > 0 ? 0 : emptyMillis(part.millisToNext(now)))
                .build();
    }

    private static int emptyMillis(long millisToNext) {
        return (int) Math.max(SHORTEST_EMPTY_MILLIS, Math.min(millisToNext, TimeUnit.SECONDS.toMillis(1)));
    }

    /** Takes a question of another node. */
    public void onMessage(NodeId sender, ByteString body, Consumer<ByteString> reply) {
        QuotaQuestion question;
        try {
            question = QuotaQuestion.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "node %s sent a malformed question on a quota", sender);
            return;
        }
        answer(question).thenAccept(answer -> reply.accept(answer.toByteString()));
    }

    private CompletableFuture<QuotaAnswer> answer(QuotaQuestion question) {
        Optional<Organisation> found =
                ports.organisations().get().named(OrganisationName.of(question.getOrganisation()));
        if (found.isEmpty() || found.get().quota().isUnlimited()) {
            // This node has an earlier or later configuration than the one that asks, which asks again soon.
            return CompletableFuture.completedFuture(QuotaAnswer.newBuilder()
                    .setEmptyMillis((int) SHORTEST_EMPTY_MILLIS)
                    .build());
        }
        Organisation organisation = found.get();
        if (question.getBorrowing()) {
            return CompletableFuture.completedFuture(lend(organisation));
        }
        boolean borrow;
        synchronized (this) {
            home.add(organisation, question.getUnused(), now());
            borrow = home.isEmpty(organisation, now()) && mayBorrow(organisation);
        }
        return borrow
                ? borrow(organisation).thenApply(unused -> grant(organisation, question.getWanted()))
                : CompletableFuture.completedFuture(grant(organisation, question.getWanted()));
    }

    private synchronized QuotaAnswer lend(Organisation organisation) {
        return QuotaAnswer.newBuilder()
                .setGranted(home.lend(organisation, now()))
                .build();
    }

    private synchronized QuotaAnswer grant(Organisation organisation, int wanted) {
        long now = now();
        int granted = home.grant(organisation, wanted, now);
        return QuotaAnswer.newBuilder()
                .setGranted(granted)
                .setEmptyMillis(granted > 0 ? 0 : emptyMillis(home.millisToNext(organisation, now)))
                .build();
    }

    private boolean mayBorrow(Organisation organisation) {
        Long vain = vainBorrowing.get(organisation.name());
        return vain == null || now() - vain > TimeUnit.MILLISECONDS.toNanos(SHORTEST_EMPTY_MILLIS);
    }

    /** Asks the homes in the other data centres for what they have to spare; completes when all have answered. */
    private CompletableFuture<Void> borrow(Organisation organisation) {
        ImmutableList<NodeId> lenders;
        synchronized (this) {
            vainBorrowing.put(organisation.name(), now());
            lenders = ports.peers().homesElsewhere(organisation.name()).stream()
                    .filter(node -> !isSilent(node))
                    .collect(ImmutableList.toImmutableList());
        }
        QuotaQuestion question = QuotaQuestion.newBuilder()
                .setOrganisation(organisation.name().value())
                .setBorrowing(true)
                .build();
        CompletableFuture<?>[] loans = lenders.stream()
                .map(node -> send(node, question, LOAN_LIMIT)
                        .handle((loan, failure) -> takeLoan(organisation, node, loan, failure)))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(loans);
    }

    private boolean takeLoan(Organisation organisation, NodeId lender, QuotaAnswer loan, Throwable failure) {
        if (failure != null) {
            passOver(lender);
            return false;
        }
        synchronized (this) {
            home.add(organisation, loan.getGranted(), now());
        }
        return loan.getGranted() > 0;
    }
}

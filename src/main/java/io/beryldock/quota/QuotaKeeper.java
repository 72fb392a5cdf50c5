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
 * takes what another data centre has to spare. So a cut leaves every side with what it has; no side can double it.
 * Where no home answers, a node goes by an even part of its own.
 *
 * <p>Thread safe.
 */
public final class QuotaKeeper {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /**
     * Nodes of a data centre that may be an organisation's home. Each that takes over begins with a bucket of its
     * own, so that a long row of them, each held for silent in turn, would give the quota out many times.
     */
    private static final int HOMES = 2;

    /** Longest wait for a home: some ten times the way and back on a busy VM; requests wait meanwhile. */
    private static final Duration HOME_LIMIT = Duration.ofMillis(150);

    /** Range of the additional wait told to refused callers, so that they don't come back together. */
    private static final int SPREAD_MILLIS = 600;

    private static final CompletableFuture<QuotaDecision> WITHIN =
            CompletableFuture.completedFuture(QuotaDecision.within());

    private final Ports ports;
    private final QuotaMessenger messenger;
    private final QuotaIssuer issuer;
    private final Map<OrganisationName, QuotaShare> shares = new HashMap<>();
    private final Map<OrganisationName, TokenBucket> ownParts = new HashMap<>();

    private QuotaKeeper(Ports ports) {
        this.ports = ports;
        this.messenger = new QuotaMessenger(ports.peers(), ports.ticker());
        this.issuer = new QuotaIssuer(ports.terms(), ports.peers(), messenger, ports.organisations(), ports.ticker());
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
                + QuotaIssuer.SHORTEST_EMPTY_MILLIS
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
        messenger.ask(asked.get(), question, HOME_LIMIT, issuer::answer).whenComplete((answer, failure) -> {
            if (failure == null) {
                takeGrant(organisation, askedAt, answer);
            } else {
                messenger.passOver(asked.get());
                ask(organisation, homesTried + 1);
            }
        });
    }

    private Optional<NodeId> homeOf(Organisation organisation) {
        return ports.peers().homes(organisation.name()).stream()
                .limit(HOMES)
                .filter(node -> !messenger.isSilent(node))
                .findFirst();
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
        return QuotaIssuer.answerOf(part.take(wanted, now), part.millisToNext(now));
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
        issuer.answer(question).thenAccept(answer -> reply.accept(answer.toByteString()));
    }
}

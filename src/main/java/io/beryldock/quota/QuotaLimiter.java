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
import io.beryldock.time.TokenBucket;
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
 * Limits the requests of organisations to their quotas, over all nodes together.
 *
 * <p>Each data centre has its part of a quota. One node in it, the organisation's home node, produces tokens at the
 * rate of that part. Nodes that receive requests fetch tokens in advance, according to demand, and use them for a short
 * time. A home node that has run out borrows what another data centre can spare. A network partition thus leaves each
 * side with the tokens that it has; no side can double them. A node that reaches no home node falls back to an even
 * part of its own.
 *
 * <p>Thread safe.
 */
public final class QuotaLimiter {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /**
     * Number of nodes per data centre that may act as home node of an organisation. Each node that takes over starts
     * with its own bucket, so that a long sequence of them, each considered silent in turn, would grant the quota many
     * times.
     */
    private static final int MAX_HOMES = 2;

    /** Timeout for a home node: about ten times the round trip on a busy VM. Requests wait meanwhile. */
    private static final Duration HOME_TIMEOUT = Duration.ofMillis(150);

    /**
     * Range of the jitter added to the wait that is reported to refused callers, so that they do not return at the same
     * time.
     */
    private static final int RETRY_JITTER_MILLIS = 600;

    private static final CompletableFuture<QuotaDecision> ADMITTED =
            CompletableFuture.completedFuture(QuotaDecision.admitted());

    private final Ports ports;
    private final QuotaMessenger messenger;
    private final QuotaIssuer issuer;
    private final Map<OrganisationName, QuotaShare> shares = new HashMap<>();
    private final Map<OrganisationName, TokenBucket> localBuckets = new HashMap<>();

    private QuotaLimiter(Ports ports) {
        this.ports = ports;
        this.messenger = new QuotaMessenger(ports.peers(), ports.ticker());
        this.issuer = new QuotaIssuer(ports.terms(), ports.peers(), messenger, ports.organisations(), ports.ticker());
    }

    /** Dependencies of the limiter; the random generator must be thread safe. */
    public record Ports(
            QuotaTerms terms,
            QuotaPeers peers,
            Supplier<OrganisationTable> organisations,
            Ticker ticker,
            RandomGenerator random) {}

    public static QuotaLimiter create(Ports ports) {
        return new QuotaLimiter(ports);
    }

    /**
     * Decides whether one request of the organisation may run now. The future is complete at once while this node holds
     * tokens.
     */
    public CompletableFuture<QuotaDecision> admit(Organisation organisation) {
        if (organisation.quota().isUnlimited()) {
            return ADMITTED;
        }
        CompletableFuture<QuotaDecision> decision;
        boolean low;
        synchronized (this) {
            long now = now();
            QuotaShare share = share(organisation);
            share.onDemand(now, lifetimeNanos(organisation));
            decision = decide(share, now);
            low = share.isLow(now);
            if (low) {
                share.onQuestionSent();
            }
        }
        if (low) {
            ask(organisation, 0);
        }
        return decision;
    }

    private CompletableFuture<QuotaDecision> decide(QuotaShare share, long now) {
        if (!share.hasWaiting() && share.take(now)) {
            return ADMITTED;
        }
        long empty = share.emptyFor(now);
        return empty > 0 ? CompletableFuture.completedFuture(refusal(empty)) : share.await();
    }

    private QuotaDecision refusal(long emptyNanos) {
        return QuotaDecision.refused(TimeUnit.NANOSECONDS.toMillis(emptyNanos)
                + QuotaIssuer.MIN_EMPTY_MILLIS
                + ports.random().nextInt(RETRY_JITTER_MILLIS));
    }

    /** Returns the token of an admitted request that has not run. */
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

    private long lifetimeNanos(Organisation organisation) {
        return ports.terms().lifetimeNanos(organisation.quota());
    }

    private long now() {
        return ports.ticker().nanos();
    }

    /** Asks the home node for tokens, and the next candidate if it does not answer. */
    private void ask(Organisation organisation, int homesTried) {
        long askedAt = now();
        int wanted;
        int unused;
        Optional<NodeId> asked;
        synchronized (this) {
            QuotaShare share = share(organisation);
            wanted = share.wanted(lifetimeNanos(organisation));
            unused = share.takeUnused(askedAt);
            asked = homesTried < MAX_HOMES ? homeOf(organisation) : Optional.empty();
        }
        if (asked.isEmpty()) {
            onGrant(organisation, askedAt, grantLocally(organisation, wanted));
            return;
        }
        QuotaQuestion question = QuotaQuestion.newBuilder()
                .setOrganisation(organisation.name().value())
                .setWanted(wanted)
                .setUnused(unused)
                .build();
        messenger.ask(asked.get(), question, HOME_TIMEOUT, issuer::answer).whenComplete((answer, failure) -> {
            if (failure == null) {
                onGrant(organisation, askedAt, answer);
            } else {
                messenger.skip(asked.get());
                ask(organisation, homesTried + 1);
            }
        });
    }

    private Optional<NodeId> homeOf(Organisation organisation) {
        return ports.peers().homes(organisation.name()).stream()
                .limit(MAX_HOMES)
                .filter(node -> !messenger.isSilent(node))
                .findFirst();
    }

    private void onGrant(Organisation organisation, long askedAt, QuotaAnswer grant) {
        long now = now();
        boolean again;
        ImmutableList.Builder<Runnable> completions = ImmutableList.builder();
        synchronized (this) {
            QuotaShare share = share(organisation);
            share.onGranted(grant.getGranted(), askedAt, lifetimeNanos(organisation));
            while (share.hasWaiting() && share.take(now)) {
                CompletableFuture<QuotaDecision> served = share.nextWaiting();
                completions.add(() -> served.complete(QuotaDecision.admitted()));
            }
            if (grant.getGranted() == 0) {
                refuseWaiting(share, now + TimeUnit.MILLISECONDS.toNanos(grant.getEmptyMillis()), completions);
            }
            again = share.isLow(now) && share.hasWaiting();
            if (again) {
                share.onQuestionSent();
            }
        }
        completions.build().forEach(Runnable::run);
        if (again) {
            ask(organisation, 0);
        }
    }

    private void refuseWaiting(QuotaShare share, long until, ImmutableList.Builder<Runnable> completions) {
        share.onEmpty(until);
        while (share.hasWaiting()) {
            CompletableFuture<QuotaDecision> refused = share.nextWaiting();
            QuotaDecision decision = refusal(Math.max(0, share.emptyFor(now())));
            completions.add(() -> refused.complete(decision));
        }
    }

    /**
     * Grants tokens without a home node, at the rate that results from an even division of the quota among all nodes.
     */
    private synchronized QuotaAnswer grantLocally(Organisation organisation, int wanted) {
        long now = now();
        double rate =
                organisation.quota().ratePerSecond() / Math.max(1, ports.peers().nodes());
        double capacity = Math.max(1, rate);
        TokenBucket bucket = localBuckets.computeIfAbsent(
                organisation.name(), unused -> new TokenBucket(rate, capacity, capacity, now));
        bucket.setRateAndCapacity(rate, capacity, now);
        return QuotaIssuer.answerOf(bucket.take(wanted, now), bucket.millisToNext(now));
    }

    /** Handles a quota question from another node. */
    public void onMessage(NodeId sender, ByteString body, Consumer<ByteString> reply) {
        QuotaQuestion question;
        try {
            question = QuotaQuestion.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "malformed quota question from node %s", sender);
            return;
        }
        issuer.answer(question).thenAccept(answer -> reply.accept(answer.toByteString()));
    }
}

package io.beryldock.quota;

import com.google.common.collect.ImmutableList;
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
import java.util.function.Supplier;

/**
 * Grants tokens for the organisations whose home node in its data centre this node is, and borrows spare tokens from
 * the home nodes of other data centres. Thread safe.
 */
final class QuotaIssuer {

    /**
     * Timeout for the home nodes of other data centres. Must be well below the timeout for the home node that asks
     * them: otherwise that node would itself be considered silent when a data centre is cut off.
     */
    private static final Duration LOAN_TIMEOUT = Duration.ofMillis(50);

    /**
     * Minimum time for which an empty home node is not asked again, which bounds the number of messages under a flood
     * of requests.
     */
    static final long MIN_EMPTY_MILLIS = 40;

    /**
     * Maximum time for which an empty home node is not asked again: meanwhile the organisation may get a higher quota,
     * or its home node may borrow tokens.
     */
    private static final long MAX_EMPTY_MILLIS = 1000;

    private final QuotaPeers peers;
    private final QuotaMessenger messenger;
    private final Supplier<OrganisationTable> organisations;
    private final Ticker ticker;
    private final QuotaHome home;
    private final Map<OrganisationName, Long> borrowedAt = new HashMap<>();

    QuotaIssuer(
            QuotaTerms terms,
            QuotaPeers peers,
            QuotaMessenger messenger,
            Supplier<OrganisationTable> organisations,
            Ticker ticker) {
        this.peers = peers;
        this.messenger = messenger;
        this.organisations = organisations;
        this.ticker = ticker;
        this.home = new QuotaHome(terms, ticker.nanos());
    }

    CompletableFuture<QuotaAnswer> answer(QuotaQuestion question) {
        Optional<Organisation> found = organisations.get().findByName(OrganisationName.of(question.getOrganisation()));
        if (found.isEmpty() || found.get().quota().isUnlimited()) {
            // This node has an earlier or later configuration than the asking node, which will ask again soon.
            return CompletableFuture.completedFuture(answerOf(0, MIN_EMPTY_MILLIS));
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

    private long now() {
        return ticker.nanos();
    }

    private synchronized QuotaAnswer lend(Organisation organisation) {
        return QuotaAnswer.newBuilder()
                .setGranted(home.lend(organisation, now()))
                .build();
    }

    private synchronized QuotaAnswer grant(Organisation organisation, int wanted) {
        long now = now();
        int granted = home.grant(organisation, wanted, now);
        return answerOf(granted, home.millisToNext(organisation, now));
    }

    /** Encodes the granted tokens or, if none are granted, the time until one may be available again. */
    static QuotaAnswer answerOf(int granted, long millisToNext) {
        if (granted > 0) {
            return QuotaAnswer.newBuilder().setGranted(granted).build();
        }
        long empty = Math.max(MIN_EMPTY_MILLIS, Math.min(millisToNext, MAX_EMPTY_MILLIS));
        return QuotaAnswer.newBuilder().setEmptyMillis((int) empty).build();
    }

    /** Bounds the number of questions to other data centres while an organisation far exceeds its quota. */
    private boolean mayBorrow(Organisation organisation) {
        Long last = borrowedAt.get(organisation.name());
        return last == null || now() - last > TimeUnit.MILLISECONDS.toNanos(MIN_EMPTY_MILLIS);
    }

    /** Borrows the spare tokens of the home nodes in other data centres; completes when all have answered or failed. */
    private CompletableFuture<Void> borrow(Organisation organisation) {
        ImmutableList<NodeId> lenders;
        synchronized (this) {
            borrowedAt.put(organisation.name(), now());
            lenders = peers.homesElsewhere(organisation.name()).stream()
                    .filter(node -> !messenger.isSilent(node))
                    .collect(ImmutableList.toImmutableList());
        }
        QuotaQuestion question = QuotaQuestion.newBuilder()
                .setOrganisation(organisation.name().value())
                .setBorrowing(true)
                .build();
        CompletableFuture<?>[] loans = lenders.stream()
                .map(node -> messenger
                        .ask(node, question, LOAN_TIMEOUT, this::answer)
                        .handle((loan, failure) -> onLoanAnswer(organisation, node, loan, failure)))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(loans);
    }

    private boolean onLoanAnswer(Organisation organisation, NodeId lender, QuotaAnswer loan, Throwable failure) {
        if (failure != null) {
            messenger.skip(lender);
            return false;
        }
        synchronized (this) {
            home.add(organisation, loan.getGranted(), now());
        }
        return loan.getGranted() > 0;
    }
}

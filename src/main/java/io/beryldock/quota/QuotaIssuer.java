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
 * Gives out the quotas of the organisations whose home in its data centre this node is, and borrows from the homes of
 * other data centres what they have to spare. Thread safe.
 */
final class QuotaIssuer {

    /**
     * Longest wait for the homes in other data centres, well below that for the home that asks them: else it would be
     * held for silent itself when a data centre is cut off.
     */
    private static final Duration LOAN_LIMIT = Duration.ofMillis(50);

    /** Shortest time for which a home that has none left is not asked again: bounds messages under a flood. */
    static final long SHORTEST_EMPTY_MILLIS = 40;

    /** Longest such time: an organisation may get a higher quota, or a loan, meanwhile. */
    private static final long LONGEST_EMPTY_MILLIS = 1000;

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
        Optional<Organisation> found = organisations.get().named(OrganisationName.of(question.getOrganisation()));
        if (found.isEmpty() || found.get().quota().isUnlimited()) {
            // This node has an earlier or later configuration than the one that asks, which asks again soon.
            return CompletableFuture.completedFuture(answerOf(0, SHORTEST_EMPTY_MILLIS));
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

    /** So many tokens, or when there may be one again. */
    static QuotaAnswer answerOf(int granted, long millisToNext) {
        if (granted > 0) {
            return QuotaAnswer.newBuilder().setGranted(granted).build();
        }
        long empty = Math.max(SHORTEST_EMPTY_MILLIS, Math.min(millisToNext, LONGEST_EMPTY_MILLIS));
        return QuotaAnswer.newBuilder().setEmptyMillis((int) empty).build();
    }

    /** Bounds questions to other data centres while an organisation asks far more than its quota. */
    private boolean mayBorrow(Organisation organisation) {
        Long last = borrowedAt.get(organisation.name());
        return last == null || now() - last > TimeUnit.MILLISECONDS.toNanos(SHORTEST_EMPTY_MILLIS);
    }

    /** Asks the homes in the other data centres for what they have to spare; completes when all have answered. */
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
                        .ask(node, question, LOAN_LIMIT, this::answer)
                        .handle((loan, failure) -> takeLoan(organisation, node, loan, failure)))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(loans);
    }

    private boolean takeLoan(Organisation organisation, NodeId lender, QuotaAnswer loan, Throwable failure) {
        if (failure != null) {
            messenger.passOver(lender);
            return false;
        }
        synchronized (this) {
            home.add(organisation, loan.getGranted(), now());
        }
        return loan.getGranted() > 0;
    }
}

package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TreeCost;
import io.beryldock.time.Ticker;
import io.beryldock.wire.CreditAnswer;
import io.beryldock.wire.CreditClaims;
import io.beryldock.wire.CreditQuestion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;

/**
 * Credits that this node holds as an entry node: claims credits from the home nodes of services in shortage, according
 * to demand, and takes credits for whole trees.
 *
 * <p>Invariants: no credits are claimed without demand or while no service is in shortage; a tree takes the credits of
 * all its services in shortage or of none. Thread safe; while no service is in shortage, the check whether a tree
 * requires credits takes no lock.
 */
public final class EntryCredits implements TreeCredits {

    /** Timeout for a home node, beyond the length of its round. Trees must not wait longer for a lost home node. */
    private static final Duration HOME_TIMEOUT = Duration.ofMillis(150);

    private static final double NANOS_PER_MICRO = 1000;

    private final boolean enabled;
    private final CreditMessenger messenger;
    private final BiFunction<NodeId, CreditQuestion, CompletableFuture<CreditAnswer>> ask;
    private final Ticker ticker;
    private final TreeProfiles profiles = new TreeProfiles();
    private final Map<ServiceName, CreditAccount> accounts = new HashMap<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile boolean anyShort;

    EntryCredits(boolean enabled, CreditMessenger messenger, CreditIssuer issuer, Ticker ticker) {
        this.enabled = enabled;
        this.messenger = messenger;
        this.ticker = ticker;
        this.ask = (home, question) -> messenger.ask(home, question, timeout(question), issuer::answerOwn);
    }

    /** Timeout of a question, which covers the wait for the end of the home node's round and the transit times. */
    private Duration timeout(CreditQuestion question) {
        return HOME_TIMEOUT.plusNanos(CreditRound.nanos(messenger.nodes(ServiceName.of(question.getService()))));
    }

    /** Marks services whose admission level is below open as in shortage. */
    @Override
    public void observe(ImmutableList<ServiceLevel> levels) {
        if (!enabled || allOpen(levels)) {
            return;
        }
        List<Question> questions = new ArrayList<>();
        synchronized (this) {
            long now = ticker.nanos();
            for (ServiceLevel level : levels) {
                if (level.level() < ServiceLevel.OPEN) {
                    markShort(level.service(), now).ifPresent(questions::add);
                }
            }
            anyShort = true;
        }
        questions.forEach(this::send);
    }

    /**
     * Whether all levels are open. Runs without a lock after each caller's request, most of which meet no service in
     * shortage.
     */
    private static boolean allOpen(ImmutableList<ServiceLevel> levels) {
        for (ServiceLevel level : levels) {
            if (level.level() < ServiceLevel.OPEN) {
                return false;
            }
        }
        return true;
    }

    /**
     * Marks the service as in shortage. While its home node has not reported its capacity, it is asked even without
     * demand, because demand is recorded only once trees require credits.
     */
    private Optional<Question> markShort(ServiceName service, long now) {
        CreditAccount account = accounts.computeIfAbsent(service, added -> new CreditAccount(now));
        account.markShort(now);
        return account.homeKnowsCapacity() ? Optional.empty() : question(service, account, now);
    }

    @Override
    public boolean requiresCredits(TreeKey tree) {
        if (!anyShort) {
            return false;
        }
        synchronized (this) {
            return !needs(tree).isEmpty();
        }
    }

    /** Slot time that a tree needs of each service whose credits it requires. Guarded by this. */
    private List<Need> needs(TreeKey tree) {
        long now = ticker.nanos();
        List<Need> needs = new ArrayList<>();
        accounts.forEach((service, account) -> {
            double nanos = account.requiresCredits(now) ? profiles.nanos(tree, service) : 0;
            if (nanos > 0) {
                needs.add(new Need(account, nanos));
            }
        });
        return needs;
    }

    private record Need(CreditAccount account, double nanos) {}

    @Override
    public void recordDemand(TreeKey tree, Claimant claimant) {
        if (!anyShort) {
            return;
        }
        List<Question> questions = new ArrayList<>();
        synchronized (this) {
            long now = ticker.nanos();
            removeRecovered(now);
            accounts.forEach((service, account) -> {
                double nanos = profiles.nanos(tree, service);
                if (nanos > 0) {
                    account.demand(claimant, nanos, now);
                    question(service, account, now).ifPresent(questions::add);
                }
            });
        }
        questions.forEach(this::send);
    }

    private void removeRecovered(long now) {
        accounts.values().removeIf(account -> !account.isShort(now));
        anyShort = !accounts.isEmpty();
    }

    @Override
    public synchronized boolean take(TreeKey tree, Claimant claimant) {
        long now = ticker.nanos();
        List<Need> needs = needs(tree);
        if (needs.isEmpty()) {
            // The tree requires no credits any more, so none are taken.
            return false;
        }
        for (Need need : needs) {
            if (!need.account().covers(claimant, need.nanos(), now)) {
                return false;
            }
        }
        needs.forEach(need -> need.account().take(claimant, need.nanos(), now));
        return true;
    }

    @Override
    public synchronized void giveBack(TreeKey tree, Claimant claimant) {
        long now = ticker.nanos();
        needs(tree).forEach(need -> need.account().giveBack(claimant, need.nanos(), now));
    }

    @Override
    public void recordTreeCost(TreeKey tree, TreeCost used, boolean succeeded) {
        if (!enabled || !succeeded) {
            return;
        }
        synchronized (this) {
            profiles.learn(tree, used);
        }
    }

    @Override
    public synchronized long expectedWaitNanos(TreeKey tree, Claimant claimant, int ahead) {
        long now = ticker.nanos();
        return needs(tree).stream()
                .mapToLong(need ->
                        (long) need.account().expectedWaitNanos(claimant.rank(), (ahead + 1) * need.nanos(), now))
                .max()
                .orElse(0);
    }

    @Override
    public synchronized long usualNanos(TreeKey tree) {
        return profiles.usualNanos(tree);
    }

    @Override
    public void onCredits(Runnable listener) {
        listeners.add(listener);
    }

    /** A question that is due to a home node. */
    private record Question(
            ServiceName service, CreditAccount account, NodeId home, ImmutableList<CreditAmount> wanted, long askedAt) {

        CreditQuestion encoded() {
            CreditClaims.Builder claims = CreditClaims.newBuilder();
            wanted.forEach(part -> claims.addClaims(
                    CreditMessenger.encode(part.claimant(), (long) Math.ceil(part.nanos() / NANOS_PER_MICRO))));
            return CreditQuestion.newBuilder()
                    .setService(service.value())
                    .setClaims(claims)
                    .build();
        }
    }

    /** Creates the question that is due to the home node, if any. Guarded by this. */
    private Optional<Question> question(ServiceName service, CreditAccount account, long now) {
        if (!account.isQuestionDue(now)) {
            return Optional.empty();
        }
        Optional<NodeId> home = messenger.home(service);
        ImmutableList<CreditAmount> wanted = account.wanted(now);
        if (home.isEmpty()) {
            account.onCapacityUnknown(now);
        }
        if (home.isEmpty() || (wanted.isEmpty() && account.homeKnowsCapacity())) {
            return Optional.empty();
        }
        account.onQuestionSent();
        return Optional.of(new Question(service, account, home.get(), wanted, now));
    }

    private void send(Question question) {
        BiConsumer<CreditAnswer, Throwable> onEnd = (answer, failure) -> onAnswer(question, answer, failure);
        ask.apply(question.home(), question.encoded()).whenComplete(onEnd);
    }

    private void onAnswer(Question question, CreditAnswer answer, Throwable failure) {
        Optional<Question> next;
        synchronized (this) {
            long now = ticker.nanos();
            // The account may have been removed and created anew while its question was pending.
            boolean current = accounts.get(question.service()) == question.account();
            if (current) {
                applyAnswer(question, answer, failure, now);
            }
            next = current ? question(question.service(), question.account(), now) : Optional.empty();
        }
        listeners.forEach(Runnable::run);
        next.ifPresent(this::send);
    }

    private void applyAnswer(Question question, CreditAnswer answer, Throwable failure, long now) {
        if (failure != null) {
            question.account().onHomeSilent(question.askedAt());
        } else if (!answer.getKnown()) {
            question.account().onCapacityUnknown(now);
        } else {
            double round = TimeUnit.MILLISECONDS.toNanos(answer.getRoundMillis());
            question.account()
                    .onGranted(
                            question.wanted(),
                            granted(question, answer),
                            answer.getShort(),
                            round,
                            question.askedAt(),
                            now);
        }
    }

    /**
     * Amounts granted to the claims of the question. Claims for which the answer holds no amount are granted nothing.
     */
    private static ImmutableList<CreditAmount> granted(Question question, CreditAnswer answer) {
        int known = Math.min(question.wanted().size(), answer.getGrantedMicrosCount());
        ImmutableList.Builder<CreditAmount> granted = ImmutableList.builder();
        for (int i = 0; i < known; i++) {
            Claimant claimant = question.wanted().get(i).claimant();
            granted.add(new CreditAmount(claimant, answer.getGrantedMicros(i) * NANOS_PER_MICRO));
        }
        return granted.build();
    }

    synchronized ImmutableList<CreditSnapshot.EntryRow> snapshot() {
        long now = ticker.nanos();
        return accounts.entrySet().stream()
                .map(entry -> entry.getValue().snapshot(entry.getKey().value(), now))
                .collect(ImmutableList.toImmutableList());
    }
}

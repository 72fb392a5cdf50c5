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
 * The credits that this node holds as an entry: it asks the homes of short services by demand and takes credits for
 * whole trees.
 *
 * <p>Invariants: without demand or without a short service nothing is asked; a tree takes credits of all its short
 * services or of none. Thread safe; while nothing is short, asking for a tree's state takes no lock.
 */
public final class CreditKeeper implements TreeCredits {

    /** Longest wait for a home beyond its round. A tree must not wait longer for a home that is lost. */
    private static final Duration HOME_LIMIT = Duration.ofMillis(150);

    private static final double NANOS_PER_MICRO = 1000;

    private final boolean enabled;
    private final CreditMessenger messenger;
    private final BiFunction<NodeId, CreditQuestion, CompletableFuture<CreditAnswer>> ask;
    private final Ticker ticker;
    private final TreeProfiles profiles = new TreeProfiles();
    private final Map<ServiceName, CreditAccount> accounts = new HashMap<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile boolean anyShort;

    CreditKeeper(boolean enabled, CreditMessenger messenger, CreditIssuer issuer, Ticker ticker) {
        this.enabled = enabled;
        this.messenger = messenger;
        this.ticker = ticker;
        this.ask = (home, question) -> messenger.ask(home, question, limit(question), issuer::answerOwn);
    }

    /** Time for which the home may wait for its round's end, and for the way. */
    private Duration limit(CreditQuestion question) {
        return HOME_LIMIT.plusNanos(CreditRound.nanos(messenger.nodes(ServiceName.of(question.getService()))));
    }

    /** Learns from a result which services do not admit all. */
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
                    noteShort(level.service(), now).ifPresent(questions::add);
                }
            }
            anyShort = true;
        }
        questions.forEach(this::send);
    }

    /** Asked after each caller's request, most of which meet nothing that is short. */
    private static boolean allOpen(ImmutableList<ServiceLevel> levels) {
        for (ServiceLevel level : levels) {
            if (level.level() < ServiceLevel.OPEN) {
                return false;
            }
        }
        return true;
    }

    /** A service of which the home has told nothing yet is asked for without demand: none comes before it governs. */
    private Optional<Question> noteShort(ServiceName service, long now) {
        CreditAccount account = accounts.computeIfAbsent(service, added -> new CreditAccount(now));
        account.noteShort(now);
        return account.homeKnows() ? Optional.empty() : question(service, account, now);
    }

    @Override
    public boolean governs(TreeKey tree) {
        if (!anyShort) {
            return false;
        }
        synchronized (this) {
            return !scarce(tree).isEmpty();
        }
    }

    /** What a tree needs of each service whose credits it needs. Guarded by this. */
    private List<Need> scarce(TreeKey tree) {
        long now = ticker.nanos();
        List<Need> needs = new ArrayList<>();
        accounts.forEach((service, account) -> {
            double nanos = account.governs(now) ? profiles.nanos(tree, service) : 0;
            if (nanos > 0) {
                needs.add(new Need(account, nanos));
            }
        });
        return needs;
    }

    private record Need(CreditAccount account, double nanos) {}

    @Override
    public void demand(TreeKey tree, Claimant claimant) {
        if (!anyShort) {
            return;
        }
        List<Question> questions = new ArrayList<>();
        synchronized (this) {
            long now = ticker.nanos();
            forgetRecovered(now);
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

    private void forgetRecovered(long now) {
        accounts.values().removeIf(account -> !account.isShort(now));
        anyShort = !accounts.isEmpty();
    }

    @Override
    public synchronized boolean take(TreeKey tree, Claimant claimant) {
        long now = ticker.nanos();
        List<Need> needs = scarce(tree);
        if (needs.isEmpty()) {
            // Credits no longer govern the tree, so none cover it.
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
        scarce(tree).forEach(need -> need.account().giveBack(claimant, need.nanos(), now));
    }

    @Override
    public void ended(TreeKey tree, TreeCost used, boolean succeeded) {
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
        return scarce(tree).stream()
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

    /** A question to a home that is due. */
    private record Question(
            ServiceName service, CreditAccount account, NodeId home, ImmutableList<WantedCredit> wanted, long askedAt) {

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

    /** What the home is to be asked now, if anything. Guarded by this. */
    private Optional<Question> question(ServiceName service, CreditAccount account, long now) {
        if (!account.mayAsk(now)) {
            return Optional.empty();
        }
        Optional<NodeId> home = messenger.home(service);
        ImmutableList<WantedCredit> wanted = account.wanted(now);
        if (home.isEmpty()) {
            account.onUnknown(now);
        }
        if (home.isEmpty() || (wanted.isEmpty() && account.homeKnows())) {
            return Optional.empty();
        }
        account.onAsked();
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
            // An account may have been dropped, and one made anew, while its question was under way.
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
            question.account().onSilent(question.askedAt());
        } else if (!answer.getKnown()) {
            question.account().onUnknown(now);
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

    /** A home that answers fewer claims than it was asked grants nothing for the others. */
    private static ImmutableList<WantedCredit> granted(Question question, CreditAnswer answer) {
        int known = Math.min(question.wanted().size(), answer.getGrantedMicrosCount());
        ImmutableList.Builder<WantedCredit> granted = ImmutableList.builder();
        for (int i = 0; i < known; i++) {
            Claimant claimant = question.wanted().get(i).claimant();
            granted.add(new WantedCredit(claimant, answer.getGrantedMicros(i) * NANOS_PER_MICRO));
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

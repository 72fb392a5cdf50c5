package io.beryldock.retry;

import io.beryldock.call.Incarnation;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Simulates one root request whose calls and answers are reordered, lost, delayed or duplicated, or claim more retries
 * than were granted.
 *
 * <p>Each message is an event, and the next event is a random one of those pending.
 */
final class RandomTree {

    private static final int MAX_CALLS = 400;
    private static final double LOST = 0.1;
    private static final double DUPLICATED = 0.15;
    private static final double TIMED_OUT = 0.1;
    private static final double FAILED = 0.3;
    private static final double OVERCLAIMED = 0.05;

    private final RetryLedger ledger;
    private final Random random;
    private final RequestIds ids;
    private final int maxDepth;
    private final int maxFanOut;
    private final List<Runnable> pending = new ArrayList<>();
    private final Set<RetryAccount> accounts = new HashSet<>();
    private int calls;
    private int retries;
    private int deepest;

    RandomTree(RetryLedger ledger, long seed, int maxDepth, int maxFanOut) {
        this.ledger = ledger;
        this.random = new Random(seed);
        this.ids = RequestIds.of(Incarnation.random(random));
        this.maxDepth = maxDepth;
        this.maxFanOut = maxFanOut;
    }

    /** Runs the tree until no event is pending. */
    void run(int allowance) {
        new Run(ledger.open(ids.next(), allowance), 0, unspent -> {}).start();
        while (!pending.isEmpty()) {
            pending.remove(random.nextInt(pending.size())).run();
        }
    }

    int retries() {
        return retries;
    }

    int deepest() {
        return deepest;
    }

    Set<RetryAccount> accounts() {
        return accounts;
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private void send(Runnable message) {
        if (chance(LOST)) {
            return;
        }
        pending.add(message);
        if (chance(DUPLICATED)) {
            pending.add(message);
        }
    }

    /** Receives the answer of a run with its number of unspent retries. */
    private interface Reply {
        void answer(int unspent);
    }

    /** One run of a target: makes inner calls, then answers. */
    private final class Run {
        private final RetryAccount account;
        private final int depth;
        private final Reply reply;
        private int open;

        Run(RetryAccount account, int depth, Reply reply) {
            this.account = account;
            this.depth = depth;
            this.reply = reply;
            accounts.add(account);
            deepest = Math.max(deepest, depth);
        }

        void start() {
            int inner = depth >= maxDepth ? 0 : 1 + random.nextInt(maxFanOut);
            open = 1;
            for (int i = 0; i < inner; i++) {
                open++;
                pending.add(this::attempt);
            }
            pending.add(this::ended);
        }

        private void attempt() {
            if (calls++ > MAX_CALLS) {
                ended();
                return;
            }
            RetryGrant grant = account.grant(random.nextInt(6) - 1);
            RequestId id = ids.next();
            Attempt attempt = new Attempt(this, grant);
            send(() -> new Run(ledger.open(id, grant.amount()), depth + 1, attempt::onAnswer).start());
            pending.add(attempt::onTimer);
        }

        private void attemptFailed() {
            if (account.takeRetry()) {
                retries++;
                pending.add(this::attempt);
            } else {
                ended();
            }
        }

        private void ended() {
            open--;
            boolean answersEarly = open > 0 && chance(LOST);
            if (open == 0 || answersEarly) {
                int unspent = account.close();
                send(() -> reply.answer(unspent));
            }
        }
    }

    /** One attempt of an inner call, as seen by its caller. */
    private final class Attempt {
        private final Run caller;
        private final RetryGrant grant;
        private boolean over;

        Attempt(Run caller, RetryGrant grant) {
            this.caller = caller;
            this.grant = grant;
        }

        void onAnswer(int unspent) {
            boolean fullyUnspent = unspent == grant.amount();
            grant.giveBack(fullyUnspent && chance(OVERCLAIMED) ? unspent + 3 : unspent);
            end(chance(FAILED));
        }

        /** Times the attempt out, in most cases only after all answers that can still arrive. */
        void onTimer() {
            if (!over && !pending.isEmpty() && !chance(TIMED_OUT)) {
                pending.add(this::timeOut);
                return;
            }
            timeOut();
        }

        private void timeOut() {
            grant.lose();
            end(true);
        }

        private void end(boolean failed) {
            if (over) {
                return;
            }
            over = true;
            if (failed) {
                caller.attemptFailed();
            } else {
                caller.ended();
            }
        }
    }
}

package io.beryldock.retry;

import io.beryldock.call.Incarnation;
import io.beryldock.call.RequestIds;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Runs trees of calls over real ledgers, with refused calls and lost answers. */
final class CallTree {

    private final GrantPolicy policy;
    private final Random random;
    private final double refused;
    private final double lost;
    private final RetryLedger ledger = RetryLedger.create();
    private final RequestIds ids;
    private long calls;
    private int retries;

    CallTree(GrantPolicy policy, Random random, double refused, double lost) {
        this.policy = policy;
        this.random = random;
        this.refused = refused;
        this.lost = lost;
        this.ids = RequestIds.of(Incarnation.random(random));
    }

    /** Inner calls of one run: how many at each depth and whether they are made at once. */
    record Shape(String name, int depth, int fanOut, boolean parallel) {}

    /** Runs one root request; true when it was answered whole. */
    boolean run(Shape shape, int allowance) {
        retries = 0;
        RetryAccount root = ledger.open(ids.next(), allowance);
        List<RetryGrant> first = grants(shape, root, 0, 1);
        boolean whole = attemptUntilDone(shape, root, 0, first.get(0));
        root.close();
        return whole;
    }

    int retries() {
        return retries;
    }

    long calls() {
        return calls;
    }

    /** A call made from {@code account}, at {@code depth} of its caller; retried while the account allows. */
    private boolean attemptUntilDone(Shape shape, RetryAccount account, int depth, RetryGrant first) {
        RetryGrant grant = first;
        while (true) {
            calls++;
            if (random.nextDouble() < refused) {
                grant.giveBack(grant.amount());
            } else {
                RetryAccount child = ledger.open(ids.next(), grant.amount());
                boolean whole = runTarget(shape, child, depth + 1);
                int unspent = child.close();
                if (random.nextDouble() >= lost) {
                    grant.giveBack(unspent);
                    if (whole) {
                        return true;
                    }
                } else {
                    grant.lose();
                }
            }
            if (!account.takeRetry()) {
                return false;
            }
            retries++;
            grant = account.grant(policy, leaf(shape, depth));
        }
    }

    private boolean runTarget(Shape shape, RetryAccount account, int depth) {
        if (depth >= shape.depth()) {
            return true;
        }
        List<RetryGrant> early = shape.parallel() ? grants(shape, account, depth, shape.fanOut()) : List.of();
        boolean whole = true;
        for (int i = 0; i < shape.fanOut(); i++) {
            if (!whole && !shape.parallel()) {
                return false;
            }
            RetryGrant grant = shape.parallel() ? early.get(i) : account.grant(policy, leaf(shape, depth));
            whole &= attemptUntilDone(shape, account, depth, grant);
        }
        return whole;
    }

    private static boolean leaf(Shape shape, int callerDepth) {
        return callerDepth + 1 >= shape.depth();
    }

    private List<RetryGrant> grants(Shape shape, RetryAccount account, int depth, int count) {
        List<RetryGrant> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(account.grant(policy, leaf(shape, depth)));
        }
        return list;
    }
}

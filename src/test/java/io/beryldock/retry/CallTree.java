package io.beryldock.retry;

import io.beryldock.call.Incarnation;
import io.beryldock.call.RequestIds;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Simulates call trees with real retry ledgers, refused calls and lost answers. */
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

    /**
     * Shape of a call tree.
     *
     * @param depth number of layers of inner calls
     * @param fanOut inner calls of each run
     * @param parallel whether the inner calls of a run are made in parallel
     */
    record Shape(String name, int depth, int fanOut, boolean parallel) {}

    /** Runs one root request; true when all calls of its tree were answered. */
    boolean run(Shape shape, int allowance) {
        retries = 0;
        RetryAccount root = ledger.open(ids.next(), allowance);
        List<RetryGrant> first = grants(shape, root, 0, 1);
        boolean complete = attemptUntilDone(shape, root, 0, first.get(0));
        root.close();
        return complete;
    }

    int retries() {
        return retries;
    }

    long calls() {
        return calls;
    }

    /** Makes a call for a caller at {@code depth}, with retries while the caller's {@code account} holds any. */
    private boolean attemptUntilDone(Shape shape, RetryAccount account, int depth, RetryGrant first) {
        RetryGrant grant = first;
        while (true) {
            calls++;
            if (random.nextDouble() < refused) {
                grant.giveBack(grant.amount());
            } else {
                RetryAccount child = ledger.open(ids.next(), grant.amount());
                boolean complete = runTarget(shape, child, depth + 1);
                int unspent = child.close();
                if (random.nextDouble() >= lost) {
                    grant.giveBack(unspent);
                    if (complete) {
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
            grant = account.grant(policy, isLeaf(shape, depth));
        }
    }

    private boolean runTarget(Shape shape, RetryAccount account, int depth) {
        if (depth >= shape.depth()) {
            return true;
        }
        List<RetryGrant> early = shape.parallel() ? grants(shape, account, depth, shape.fanOut()) : List.of();
        boolean complete = true;
        for (int i = 0; i < shape.fanOut(); i++) {
            if (!complete && !shape.parallel()) {
                return false;
            }
            RetryGrant grant = shape.parallel() ? early.get(i) : account.grant(policy, isLeaf(shape, depth));
            complete &= attemptUntilDone(shape, account, depth, grant);
        }
        return complete;
    }

    private static boolean isLeaf(Shape shape, int callerDepth) {
        return callerDepth + 1 >= shape.depth();
    }

    private List<RetryGrant> grants(Shape shape, RetryAccount account, int depth, int count) {
        List<RetryGrant> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(account.grant(policy, isLeaf(shape, depth)));
        }
        return list;
    }
}

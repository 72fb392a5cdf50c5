package io.beryldock.retry;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against retries that multiply from layer to layer of a deep call tree, which turn a short fault into a
 * self-sustaining overload.
 *
 * <p>Calls and answers are lost, delayed or duplicated, or claim more retries than were granted. The retries of the
 * whole tree must stay within the allowance of its root.
 */
class RetryLedgerPropertyTest {

    @Property(tries = 3000)
    void retriesOfATreeStayWithinTheRootsAllowance(
            @ForAll long seed,
            @ForAll @IntRange(max = 8) int allowance,
            @ForAll @IntRange(max = 17) int depth,
            @ForAll @IntRange(min = 1, max = 4) int fanOut) {
        RetryLedger ledger = RetryLedger.create();
        RandomTree tree = new RandomTree(ledger, seed, depth, fanOut);
        tree.run(allowance);
        assertThat(tree.retries()).isLessThanOrEqualTo(allowance);
        assertThat(ledger.violations()).isZero();
        assertThat(tree.accounts())
                .allSatisfy(account -> assertThat(account.state().isBalanced()).isTrue());
    }

    @Test
    void treesReachDepth17() {
        int deepest = 0;
        for (int seed = 0; seed < 50; seed++) {
            RandomTree tree = new RandomTree(RetryLedger.create(), seed, 17, 2);
            tree.run(8);
            deepest = Math.max(deepest, tree.deepest());
        }
        assertThat(deepest).isEqualTo(17);
    }

    /** Checks that the invariant of the account detects grants that are given back twice. */
    @Test
    void givingBackTwiceIsDetected() {
        int caught = 0;
        for (int seed = 0; seed < 200; seed++) {
            RetryLedger broken = RetryLedger.withGuard(() -> () -> true);
            try {
                new RandomTree(broken, seed, 17, 3).run(8);
            } catch (RetryInvariantException e) {
                assertThat(broken.violations()).isEqualTo(1);
                caught++;
            }
        }
        assertThat(caught).isGreaterThan(100);
    }
}

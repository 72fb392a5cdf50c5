package io.beryldock.retry;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * A reader's page stands on a deep tree of calls, and each layer retries. Calls and answers are lost, come late, twice
 * or claim more than was handed on. Without one allowance for the tree the retries multiply from layer to layer, and a
 * short fault becomes an overload that feeds itself.
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
                .allSatisfy(account -> assertThat(account.state().addsUp()).isTrue());
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

    /** The same run with grants that can be given back twice: the check inside the account must see it. */
    @Test
    void givingBackTwiceIsCaught() {
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

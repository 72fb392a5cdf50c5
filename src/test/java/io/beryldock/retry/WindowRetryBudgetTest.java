package io.beryldock.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Load pattern: a service refuses a share of its calls regardless of load, and each call tree makes many of them. */
final class WindowRetryBudgetTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double SHARE = 0.2;
    private static final double REFUSED_SHARE = 0.55;
    private static final int CALLS_OF_A_TREE = 8;
    private static final int TRIES = 7;
    private static final int IMPORTANT = 0;
    private static final int OTHER = 2;

    private final ManualTimerService timers = ManualTimerService.create();
    private final Random random = new Random(11);

    private WindowRetryBudget budget(int floor) {
        return WindowRetryBudget.create(timers.ticker(), new WindowRetryBudget.Limits(SHARE, floor, WINDOW));
    }

    @Test
    void retriesAreAShareOfFirstTriesAndTheFloor() {
        WindowRetryBudget budget = budget(2);
        for (int i = 0; i < 50; i++) {
            budget.onFirstTry();
        }
        assertThat(granted(budget, 100)).isEqualTo(12);
    }

    private int granted(WindowRetryBudget budget, int asked) {
        int granted = 0;
        for (int i = 0; i < asked; i++) {
            granted += budget.tryRetry(IMPORTANT) ? 1 : 0;
        }
        return granted;
    }

    @Test
    void refundedRetryCanBeTakenAgain() {
        WindowRetryBudget budget = budget(1);
        assertThat(budget.tryRetry(IMPORTANT)).isTrue();
        assertThat(budget.tryRetry(IMPORTANT)).isFalse();
        budget.refund();
        assertThat(budget.tryRetry(IMPORTANT)).isTrue();
    }

    /** Guards against calls that bypass the budget because they are made again by a repeated run. */
    @Test
    void callsOfARepeatedRunReduceTheBudget() {
        WindowRetryBudget budget = budget(0);
        for (int i = 0; i < 100; i++) {
            budget.onFirstTry();
        }
        for (int i = 0; i < 15; i++) {
            budget.onRepeat();
        }
        assertThat(budget.available()).isEqualTo(5);
        assertThat(granted(budget, 100)).isEqualTo(5);
    }

    /** Guards against first attempts from before a long pause of the node that still count after it. */
    @Test
    void firstTriesBeforeAPauseExpire() {
        WindowRetryBudget budget = budget(0);
        for (int i = 0; i < 1000; i++) {
            budget.onFirstTry();
        }
        timers.advance(WINDOW.multipliedBy(3));
        assertThat(budget.available()).isZero();
    }

    /** Guards against a service that is overloaded by repeats from many nodes. */
    @Test
    void limitHoldsInEachWindowOverAllNodes() {
        List<WindowRetryBudget> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nodes.add(WindowRetryBudget.create(timers.ticker(), new WindowRetryBudget.Limits(0.9 * SHARE, 0, WINDOW)));
        }
        int step = 50;
        int steps = (int) (3 * WINDOW.toMillis() / step);
        int window = (int) (WINDOW.toMillis() / step);
        int[] firsts = new int[steps];
        int[] repeats = new int[steps];
        for (int i = 0; i < steps; i++) {
            int rate = i < steps / 3 ? 6 : 1 + random.nextInt(8);
            for (WindowRetryBudget node : nodes) {
                for (int call = 0; call < rate; call++) {
                    node.onFirstTry();
                    firsts[i]++;
                    repeats[i] += random.nextDouble() < REFUSED_SHARE && node.tryRetry(IMPORTANT) ? 1 : 0;
                }
            }
            timers.advance(Duration.ofMillis(step));
        }
        for (int end = window; end <= steps; end++) {
            int before = end >= 2 * window ? sum(firsts, end - 2 * window, end - window) : 0;
            int allowed = Math.max(sum(firsts, end - window, end), before);
            assertThat(sum(repeats, end - window, end)).isLessThanOrEqualTo((int) (SHARE * allowed));
        }
    }

    private static int sum(int[] counts, int from, int to) {
        int sum = 0;
        for (int i = from; i < to; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /**
     * Guards against retries that are spread over all call trees and save none of them.
     *
     * <p>Important and other trees are mixed one to three, and 0.55 of all calls are refused for 8 s. A token budget
     * serves calls in order of arrival and nearly all trees fail; the window budget saves four in ten important trees.
     */
    @Test
    void importantTreesSucceedWhileMoreThanHalfOfTheCallsAreRefused() {
        double tokens = importantTreesSaved(
                TokenRetryBudget.create(timers.ticker(), new RetryBudgetSettings(SHARE / 10, 0, 0, WINDOW)));
        double windowed = importantTreesSaved(budget(0));
        assertThat(tokens).isLessThan(0.1);
        assertThat(windowed).isGreaterThan(0.4);
    }

    private double importantTreesSaved(RetryBudget budget) {
        Deque<Integer> ranks = new ArrayDeque<>(List.of(IMPORTANT, OTHER, OTHER, OTHER));
        int succeededTrees = 0;
        int trees = 0;
        for (int i = 0; i < 4 * 180; i++) {
            boolean refuses = i >= 4 * 100;
            int rank = ranks.removeFirst();
            ranks.addLast(rank);
            boolean succeeded = runs(budget, rank, refuses);
            boolean counts = refuses && rank == IMPORTANT;
            trees += counts ? 1 : 0;
            succeededTrees += counts && succeeded ? 1 : 0;
            timers.advance(Duration.ofMillis(25));
        }
        return (double) succeededTrees / trees;
    }

    private boolean runs(RetryBudget budget, int rank, boolean refuses) {
        for (int call = 0; call < CALLS_OF_A_TREE; call++) {
            budget.onFirstTry();
            if (refuses && !isAccepted(budget, rank)) {
                return false;
            }
        }
        return true;
    }

    private boolean isAccepted(RetryBudget budget, int rank) {
        boolean accepted = random.nextDouble() >= REFUSED_SHARE;
        for (int tries = 1; !accepted && tries < TRIES && budget.tryRetry(rank); tries++) {
            accepted = random.nextDouble() >= REFUSED_SHARE;
        }
        return accepted;
    }
}

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
final class ArrivalBudgetTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double SHARE = 0.2;
    private static final double REFUSED_SHARE = 0.55;
    private static final int CALLS_OF_A_TREE = 8;
    private static final int TRIES = 7;
    private static final int IMPORTANT = 0;
    private static final int OTHER = 2;

    private final ManualTimerService timers = ManualTimerService.create();
    private final Random random = new Random(11);

    private ArrivalBudget budget() {
        return ArrivalBudget.create(timers.ticker(), new ArrivalBudget.Limits(SHARE, WINDOW));
    }

    private static void addFirsts(ArrivalBudget budget, int number) {
        for (int i = 0; i < number; i++) {
            budget.onFirst();
        }
    }

    private static boolean isRepeated(ArrivalBudget budget, int rank, boolean inherited) {
        return budget.request(rank, inherited) && budget.take(rank, inherited).isPresent();
    }

    private static int repeated(ArrivalBudget budget, int asked) {
        int repeated = 0;
        for (int i = 0; i < asked; i++) {
            repeated += isRepeated(budget, IMPORTANT, false) ? 1 : 0;
        }
        return repeated;
    }

    /** Guards against a slack that each process of a node is granted anew. */
    @Test
    void newBudgetHasNoRoom() {
        assertThat(budget().room()).isZero();
        assertThat(repeated(budget(), 100)).isZero();
    }

    @Test
    void firstArrivalsAllowAPartOfTheShareAtOnceAndLessThanAllOfItLater() {
        ArrivalBudget budget = budget();
        addFirsts(budget, 500);
        assertThat(budget.room()).isEqualTo(30);
        timers.advance(WINDOW.minusMillis(500));
        assertThat(budget.room()).isBetween(30, 99);
        assertThat(repeated(budget, 200)).isBetween(30, 99);
        timers.advance(WINDOW.multipliedBy(2));
        assertThat(budget.room()).isZero();
    }

    /** Guards against a margin for inexact windows that costs callers a part of the share. */
    @Test
    void repeatsReachNearlyTheShareOfSteadyFirstArrivals() {
        ArrivalBudget budget = budget();
        int repeated = 0;
        for (int i = 0; i < 160; i++) {
            addFirsts(budget, 25);
            int now = repeated(budget, 100);
            repeated += i >= 80 && i < 120 ? now : 0;
            timers.advance(WINDOW.dividedBy(40));
        }
        assertThat(repeated).isBetween((int) (0.95 * SHARE * 1000), (int) (SHARE * 1000));
    }

    /** Guards against calls that bypass the budget because they are made again by a repeated run. */
    @Test
    void callsOfARepeatedRunReduceTheBudget() {
        ArrivalBudget budget = budget();
        addFirsts(budget, 500);
        for (int i = 0; i < 25; i++) {
            assertThat(isRepeated(budget, IMPORTANT, true)).isTrue();
        }
        assertThat(budget.room()).isEqualTo(5);
        timers.advance(WINDOW.dividedBy(4));
        assertThat(repeated(budget, 100)).isEqualTo(5);
    }

    /** Guards against repeated runs whose calls are refused while retries of the same rank use up the budget. */
    @Test
    void callsOfRepeatedRunsPrecedeOtherRepeatsOfTheirRank() {
        ArrivalBudget budget = budget();
        addFirsts(budget, 300);
        assertThat(isRepeated(budget, OTHER, true)).isTrue();
        assertThat(isRepeated(budget, OTHER, true)).isTrue();
        assertThat(isRepeated(budget, OTHER, false)).isFalse();
        assertThat(isRepeated(budget, OTHER, true)).isTrue();
    }

    @Test
    void refusedRepeatLeavesTheRoomAsItIs() {
        ArrivalBudget budget = budget();
        addFirsts(budget, 20);
        assertThat(repeated(budget, 5)).isEqualTo(1);
        addFirsts(budget, 20);
        assertThat(budget.room()).isEqualTo(1);
    }

    /** Guards against a bound that is raised by calls that never arrived. */
    @Test
    void whatDidNotArriveIsTakenBackFromWhereItWasCounted() {
        ArrivalBudget budget = budget();
        addFirsts(budget, 500);
        List<Runnable> unsent = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            unsent.add(budget.onFirst());
        }
        assertThat(budget.room()).isEqualTo(60);
        Runnable repeat = budget.take(IMPORTANT, true).orElseThrow();
        timers.advance(Duration.ofSeconds(1));
        unsent.forEach(Runnable::run);
        assertThat(budget.room()).isEqualTo(29);
        repeat.run();
        assertThat(budget.room()).isEqualTo(30);
        Runnable old = budget.onFirst();
        timers.advance(WINDOW.multipliedBy(3));
        old.run();
        assertThat(budget.room()).isZero();
    }

    /** Guards against first arrivals from before a long pause of the node that still count after it. */
    @Test
    void firstArrivalsBeforeAPauseExpire() {
        ArrivalBudget budget = budget();
        addFirsts(budget, 1000);
        timers.advance(WINDOW.multipliedBy(3));
        assertThat(budget.room()).isZero();
        assertThat(repeated(budget, 100)).isZero();
    }

    /** Guards against a service that is overloaded by repeats from many nodes. */
    @Test
    void limitHoldsInEachWindowOverAllNodesThroughRestartsAndShiftsOfLoad() {
        int step = 50;
        int steps = (int) (6 * WINDOW.toMillis() / step);
        int window = (int) (WINDOW.toMillis() / step);
        List<ArrivalBudget> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nodes.add(budget());
        }
        int[] firsts = new int[steps];
        int[] repeats = new int[steps];
        for (int i = 0; i < steps; i++) {
            int busyFrom = i / window * 7 % nodes.size();
            for (int node = 0; node < nodes.size(); node++) {
                if (random.nextInt(200) == 0) {
                    nodes.set(node, budget());
                }
                boolean busy = Math.floorMod(node - busyFrom, nodes.size()) < 5;
                int rate = busy ? 6 + random.nextInt(8) : random.nextInt(2);
                for (int call = 0; call < rate; call++) {
                    nodes.get(node).onFirst();
                    firsts[i]++;
                    boolean repeated =
                            random.nextDouble() < REFUSED_SHARE && isRepeated(nodes.get(node), IMPORTANT, false);
                    repeats[i] += repeated ? 1 : 0;
                }
            }
            timers.advance(Duration.ofMillis(step));
        }
        for (int end = window; end <= steps; end++) {
            int before = sum(firsts, Math.max(0, end - 2 * window), end - window);
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
     * serves calls in order of arrival and nearly all trees fail; the arrival budget saves four in ten important trees.
     */
    @Test
    void importantTreesSucceedWhileMoreThanHalfOfTheCallsAreRefused() {
        TokenRetryBudget tokens =
                TokenRetryBudget.create(timers.ticker(), new RetryBudgetSettings(SHARE / 10, 0, 0, WINDOW));
        double spread = importantTreesSaved(tokens::onFirstTry, tokens::tryRetry);
        ArrivalBudget budget = budget();
        double ordered = importantTreesSaved(budget::onFirst, rank -> isRepeated(budget, rank, false));
        assertThat(spread).isLessThan(0.1);
        assertThat(ordered).isGreaterThan(0.4);
    }

    /** Takes a repeat of a rank from a budget. */
    @FunctionalInterface
    private interface Repeats {
        boolean take(int rank);
    }

    private double importantTreesSaved(Runnable onFirst, Repeats repeats) {
        Deque<Integer> ranks = new ArrayDeque<>(List.of(IMPORTANT, OTHER, OTHER, OTHER));
        int succeededTrees = 0;
        int trees = 0;
        for (int i = 0; i < 4 * 180; i++) {
            boolean refuses = i >= 4 * 100;
            int rank = ranks.removeFirst();
            ranks.addLast(rank);
            boolean succeeded = runs(onFirst, repeats, rank, refuses);
            boolean counts = refuses && rank == IMPORTANT;
            trees += counts ? 1 : 0;
            succeededTrees += counts && succeeded ? 1 : 0;
            timers.advance(Duration.ofMillis(25));
        }
        return (double) succeededTrees / trees;
    }

    private boolean runs(Runnable onFirst, Repeats repeats, int rank, boolean refuses) {
        for (int call = 0; call < CALLS_OF_A_TREE; call++) {
            onFirst.run();
            if (refuses && !isAccepted(repeats, rank)) {
                return false;
            }
        }
        return true;
    }

    private boolean isAccepted(Repeats repeats, int rank) {
        boolean accepted = random.nextDouble() >= REFUSED_SHARE;
        for (int tries = 1; !accepted && tries < TRIES && repeats.take(rank); tries++) {
            accepted = random.nextDouble() >= REFUSED_SHARE;
        }
        return accepted;
    }
}

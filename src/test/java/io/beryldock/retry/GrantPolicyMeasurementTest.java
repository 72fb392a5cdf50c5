package io.beryldock.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares the share of root requests left unanswered by each grant policy and prints the table. */
class GrantPolicyMeasurementTest {

    private static final int REQUESTS = 4_000;
    private static final int ALLOWANCE = 4;
    private static final List<CallTree.Shape> SHAPES = List.of(
            new CallTree.Shape("chain of 5", 5, 1, false),
            new CallTree.Shape("chain of 17", 17, 1, false),
            new CallTree.Shape("85 calls, 4 in a row", 4, 4, false),
            new CallTree.Shape("85 calls, 4 at once", 4, 4, true),
            new CallTree.Shape("63 calls, 2 at once", 6, 2, true));
    private static final List<Fault> FAULTS = List.of(new Fault(0.01, 0), new Fault(0.01, 0.001), new Fault(0, 0.003));

    private record Fault(double refused, double lost) {}

    private record Shares(double mean, double worst) {}

    @Test
    void standardPolicyHasTheLowestMeanAndAlmostTheLowestWorstCase() {
        Map<String, Shares> measured = new LinkedHashMap<>();
        policies().forEach((name, policy) -> measured.put(name, measure(name, policy)));
        Shares standard = measured.get("standard");
        assertThat(measured.values()).allMatch(other -> standard.mean() <= other.mean());
        assertThat(measured.values()).allMatch(other -> standard.worst() <= other.worst() * 1.1);
    }

    @Test
    void eachFurtherRetryHelpsLess() {
        double before = 1;
        for (int allowance = 0; allowance <= 8; allowance++) {
            double sum = 0;
            for (CallTree.Shape shape : SHAPES) {
                sum += unansweredShare(GrantPolicy.standard(), shape, FAULTS.get(1), allowance);
            }
            double mean = sum / SHAPES.size();
            System.out.printf("R = %d: mean share not answered %.4f%n", allowance, mean);
            assertThat(mean).isLessThanOrEqualTo(before);
            before = mean;
        }
    }

    private static Map<String, GrantPolicy> policies() {
        Map<String, GrantPolicy> map = new LinkedHashMap<>();
        map.put("all", GrantPolicy.all());
        map.put("keepOne", GrantPolicy.keepOne());
        map.put("half", GrantPolicy.half());
        map.put("keepOne, no leaves", GrantPolicy.withholdingFromLeaves(GrantPolicy.keepOne()));
        map.put("all, no leaves", GrantPolicy.withholdingFromLeaves(GrantPolicy.all()));
        map.put("half, no leaves", GrantPolicy.withholdingFromLeaves(GrantPolicy.half()));
        map.put("standard", GrantPolicy.standard());
        return map;
    }

    private static Shares measure(String name, GrantPolicy policy) {
        List<Double> shares = new ArrayList<>();
        for (Fault fault : FAULTS) {
            SHAPES.forEach(shape -> shares.add(unansweredShare(policy, shape, fault, ALLOWANCE)));
        }
        double worst = shares.stream().mapToDouble(s -> s).max().orElseThrow();
        double mean = shares.stream().mapToDouble(s -> s).average().orElseThrow();
        System.out.printf("%-20s %s mean %.4f worst %.4f%n", name, shares, mean, worst);
        return new Shares(mean, worst);
    }

    private static double unansweredShare(GrantPolicy policy, CallTree.Shape shape, Fault fault, int allowance) {
        CallTree tree = new CallTree(policy, new Random(11), fault.refused(), fault.lost());
        int unanswered = 0;
        for (int i = 0; i < REQUESTS; i++) {
            unanswered += tree.run(shape, allowance) ? 0 : 1;
            assertThat(tree.retries()).isLessThanOrEqualTo(allowance);
        }
        return (double) unanswered / REQUESTS;
    }
}

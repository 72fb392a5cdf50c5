package io.beryldock.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class FairDivisionTest {

    private static final double TOLERANCE = 1e-6;
    private static final int RANKS = 4;

    private final Division<String> division = FairDivision.create();

    @Property(tries = 2000)
    void noPartIsAboveItsClaimNorTheirSumAboveTheAmount(@ForAll long seed, @ForAll @IntRange(max = 40) int count) {
        Random random = new Random(seed);
        List<Claim<String>> claims = claims(random, count);
        double amount = amount(random, claims);
        List<Double> parts = division.divide(amount, claims);
        assertThat(parts).hasSize(count);
        for (int i = 0; i < count; i++) {
            assertThat(parts.get(i)).isBetween(0.0, claims.get(i).wanted());
        }
        assertThat(sum(parts)).isLessThanOrEqualTo(amount + TOLERANCE);
    }

    @Property(tries = 2000)
    void nothingIsLeftOverWhileAClaimIsUnmet(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int count) {
        Random random = new Random(seed);
        List<Claim<String>> claims = claims(random, count);
        double amount = amount(random, claims);
        double wanted = claims.stream().mapToDouble(Claim::wanted).sum();
        assertThat(sum(division.divide(amount, claims))).isCloseTo(Math.min(amount, wanted), within(TOLERANCE));
    }

    @Property(tries = 1000)
    void orderOfClaimsDoesNotMatter(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int count) {
        Random random = new Random(seed);
        List<Claim<String>> claims = claims(random, count);
        double amount = amount(random, claims);
        List<Claim<String>> shuffled = new ArrayList<>(claims);
        Collections.shuffle(shuffled, random);
        List<Double> parts = division.divide(amount, claims);
        List<Double> others = division.divide(amount, shuffled);
        for (int i = 0; i < count; i++) {
            assertThat(others.get(shuffled.indexOf(claims.get(i)))).isCloseTo(parts.get(i), within(TOLERANCE));
        }
    }

    /** Guards against a rank that gets nothing as long as more important ranks want everything. */
    @Property(tries = 1000)
    void eachRankGetsItsMinimumShare(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int count) {
        Random random = new Random(seed);
        List<Claim<String>> claims = claims(random, count);
        double amount = amount(random, claims);
        List<Double> parts = division.divide(amount, claims);
        double wanted = claims.stream().mapToDouble(Claim::wanted).sum();
        double share = wanted == 0 ? 0 : Math.min(1, amount / wanted);
        for (int rank = 0; rank < RANKS; rank++) {
            double wantedByRank = 0;
            double granted = 0;
            for (int i = 0; i < count; i++) {
                boolean inRank = claims.get(i).rank() == rank;
                wantedByRank += inRank ? claims.get(i).wanted() : 0;
                granted += inRank ? parts.get(i) : 0;
            }
            assertThat(granted).isGreaterThanOrEqualTo(FairDivision.MIN_SHARE * share * wantedByRank - TOLERANCE);
        }
    }

    /**
     * Guards against an organisation that wants seven times its usual amount at the expense of others that want their
     * usual amounts.
     */
    @Property(tries = 1000)
    void claimOfSevenTimesTheUsualDoesNotReduceClaimsBelowTheirEvenPart(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int count) {
        Random random = new Random(seed);
        List<Claim<String>> usual = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            usual.add(new Claim<>("organisation-" + i, 0, 1, 1 + random.nextDouble()));
        }
        double amount = usual.stream().mapToDouble(Claim::wanted).sum() * (0.5 + random.nextDouble());
        List<Claim<String>> greedy = new ArrayList<>(usual);
        greedy.set(0, new Claim<>("organisation-0", 0, 1, 7 * usual.get(0).wanted()));
        List<Double> before = division.divide(amount, usual);
        List<Double> after = division.divide(amount, greedy);
        for (int i = 1; i < count; i++) {
            if (usual.get(i).wanted() <= amount / count) {
                assertThat(after.get(i)).isCloseTo(before.get(i), within(TOLERANCE));
            }
        }
    }

    @Example
    void ranksAreServedInOrderAboveTheMinimumShares() {
        List<Claim<String>> claims = List.of(
                new Claim<>("browse", 3, 1, 100), new Claim<>("order", 0, 1, 60), new Claim<>("read", 1, 1, 40));
        assertThat(division.divide(100, claims)).containsExactly(20.0, 60.0, 20.0);
    }

    @Example
    void partsWithinARankFollowTheirWeights() {
        List<Claim<String>> claims =
                List.of(new Claim<>("large", 0, 3, 90), new Claim<>("small", 0, 1, 90), new Claim<>("little", 0, 1, 4));
        assertThat(division.divide(44, claims)).containsExactly(30.0, 10.0, 4.0);
    }

    private static List<Claim<String>> claims(Random random, int count) {
        List<Claim<String>> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            double wanted = random.nextInt(4) == 0 ? 0 : 100 * random.nextDouble();
            claims.add(new Claim<>("claimant-" + i, random.nextInt(RANKS), 0.5 + random.nextInt(3), wanted));
        }
        return claims;
    }

    private static double amount(Random random, List<Claim<String>> claims) {
        return 1.5
                * random.nextDouble()
                * claims.stream().mapToDouble(Claim::wanted).sum();
    }

    private static double sum(List<Double> parts) {
        return parts.stream().mapToDouble(Double::doubleValue).sum();
    }
}

package io.beryldock.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.NodeId;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.organisation.OrganisationTable;
import io.beryldock.organisation.Quota;
import io.beryldock.quota.QuotaFleet.Outcome;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Fleet of 61 nodes in three data centres, with a few large and many small organisations whose clients use few nodes.
 */
final class QuotaLimiterTest {

    private static final int NODES = 61;
    private static final Duration STEP = Duration.ofMillis(5);

    /** Usual demand as a share of the rate; operators leave organisations that much headroom. */
    private static final double USUAL = 0.625;

    private final ManualTimerService timers = ManualTimerService.create();
    private final QuotaFleet fleet = new QuotaFleet(timers, 1);
    private final Map<Organisation, List<Outcome>> outcomes = new LinkedHashMap<>();
    private final Map<Organisation, List<NodeId>> clients = new LinkedHashMap<>();
    private Random random = new Random(1);

    private void start(long seed, double... rates) {
        random = new Random(seed);
        fleet.start(NODES);
        Map<Organisation, List<String>> keys = new LinkedHashMap<>();
        for (int i = 0; i < rates.length; i++) {
            Quota quota = new Quota(rates[i], rates[i]);
            Organisation organisation = new Organisation(OrganisationName.of("o" + i), OptionalInt.empty(), quota);
            keys.put(organisation, List.of("key-" + i));
            outcomes.put(organisation, new ArrayList<>());
            clients.put(organisation, place((int) Math.round(rates[i] * USUAL)));
        }
        fleet.setOrganisations(OrganisationTable.of(keys));
        timers.advance(Duration.ofSeconds(15));
    }

    /** Places clients at random nodes; each sends one request per second to its own node. */
    private List<NodeId> place(int number) {
        List<NodeId> placed = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            placed.add(fleet.nodes().get(random.nextInt(NODES)));
        }
        return placed;
    }

    private void run(Duration length, double times) {
        double chance = times * STEP.toMillis() / 1000.0;
        for (long left = length.toMillis(); left > 0; left -= STEP.toMillis()) {
            clients.forEach((organisation, nodes) -> {
                for (NodeId node : nodes) {
                    for (double more = chance; more > 0; more--) {
                        if (random.nextDouble() < more) {
                            fleet.request(node, organisation, outcomes.get(organisation));
                        }
                    }
                }
            });
            timers.advance(STEP);
        }
        timers.advance(Duration.ofMillis(400));
    }

    private double refusedShare() {
        long all = outcomes.values().stream().mapToLong(List::size).sum();
        long refused = outcomes.values().stream()
                .flatMap(List::stream)
                .filter(outcome -> !outcome.granted())
                .count();
        return (double) refused / all;
    }

    private void assertWithinTerms() {
        outcomes.forEach(
                (organisation, organisationOutcomes) -> assertThat(QuotaFleet.maxPerWindow(organisationOutcomes))
                        .as("requests of %s in a window", organisation.name())
                        .isLessThanOrEqualTo((int) QuotaFleet.allowed(organisation)));
    }

    /**
     * Guards against an organisation of a few clients that is refused at half of its quota: an even part of the quota
     * for each of 61 nodes is too little for the two nodes that its clients use.
     */
    @Test
    void organisationsWithinTheirQuotasAreHardlyEverRefused() {
        start(2, 281, 93, 53, 39, 31, 20, 14, 10, 8, 5);
        run(Duration.ofSeconds(30), 1);
        assertThat(refusedShare()).isLessThan(0.01);
        assertWithinTerms();
    }

    /**
     * Guards against refusals under demand that no window of the quota forbids: many users arrive at once and exceed
     * the rates of their organisations by a tenth for 18 s. Refusals occur when tokens are produced at the rate alone
     * and the tokens that nodes do not use in time are lost.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void demandThatRateAndBurstAllowIsHardlyEverRefused(long seed) {
        start(seed, 281, 93, 53, 39, 31, 20, 14, 10, 8, 5);
        run(Duration.ofSeconds(18), 1.1 / USUAL);
        assertThat(refusedShare()).isLessThan(0.02);
        assertWithinTerms();
    }

    /**
     * Guards against one organisation that sends 7.5 times its usual load and fills the targets, so that others wait.
     * It gets its quota and no more in any window, including the one in which the overload begins.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void organisationThatSendsFarTooMuchGetsItsQuota(long seed) {
        start(seed, 281, 40, 10);
        run(Duration.ofSeconds(6), 1);
        outcomes.values().forEach(List::clear);
        run(Duration.ofSeconds(10), 7.5);
        assertWithinTerms();
        outcomes.forEach((organisation, organisationOutcomes) -> assertThat(
                        organisationOutcomes.stream().filter(Outcome::granted).count())
                .as("requests of %s in ten seconds", organisation.name())
                .isGreaterThan((long) (0.9 * 10 * organisation.quota().ratePerSecond())));
    }

    /** An isolated data centre continues with its part: both sides together grant no more than the quota. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void isolatedDataCentreGrantsOnlyItsPart(long seed) {
        start(seed, 281, 40, 10);
        run(Duration.ofSeconds(4), 7.5);
        fleet.setReachable((from, to) ->
                fleet.centreOf(from).equals("c0") == fleet.centreOf(to).equals("c0"));
        run(Duration.ofSeconds(10), 7.5);
        fleet.setReachable((from, to) -> true);
        run(Duration.ofSeconds(6), 7.5);
        assertWithinTerms();
    }

    /**
     * Nodes, home nodes among them, restart without state; tokens that they granted before stay usable for their short
     * lifetime.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void restartsOfHomesGrantNothingTwice(long seed) {
        start(seed, 281, 40, 10);
        for (int i = 0; i < 20; i++) {
            fleet.restart(fleet.nodes().get(random.nextInt(NODES)));
            run(Duration.ofMillis(600), 7.5);
        }
        assertWithinTerms();
    }

    /**
     * While the home node is silent, the next one takes its place: requests wait for an answer once, then the silent
     * node is skipped.
     */
    @Test
    void silentHomeIsSkipped() {
        start(5, 93, 31, 10);
        run(Duration.ofSeconds(3), 1);
        outcomes.values().forEach(List::clear);
        NodeId lost = fleet.nodes().get(7);
        fleet.setReachable((from, to) -> !from.equals(lost) && !to.equals(lost));
        clients.values().forEach(nodes -> nodes.removeIf(lost::equals));
        run(Duration.ofSeconds(10), 1);
        assertThat(refusedShare()).isLessThan(0.02);
        assertWithinTerms();
    }

    /** A lower quota applies from the next tokens on. */
    @Test
    void loweredQuotaAppliesWithinTheLifetimeOfTokens() {
        start(6, 93);
        run(Duration.ofSeconds(5), 1);
        Organisation before = outcomes.keySet().iterator().next();
        List<NodeId> nodes = clients.get(before);
        Organisation lowered = new Organisation(before.name(), OptionalInt.empty(), new Quota(9, 9));
        outcomes.clear();
        clients.clear();
        outcomes.put(lowered, new ArrayList<>());
        clients.put(lowered, nodes);
        fleet.setOrganisations(OrganisationTable.of(Map.of(lowered, List.of("key-0"))));
        timers.advance(Duration.ofSeconds(1));
        run(Duration.ofSeconds(10), 1);
        assertWithinTerms();
    }

    @Test
    void organisationWithoutAQuotaIsNeverRefused() {
        fleet.start(3);
        Organisation free = new Organisation(OrganisationName.of("free"), OptionalInt.empty(), Quota.unlimited());
        List<Outcome> organisationOutcomes = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            fleet.request(fleet.nodes().get(0), free, organisationOutcomes);
        }
        assertThat(organisationOutcomes).hasSize(1000).allMatch(Outcome::granted);
        assertThat(fleet.messages()).isZero();
    }
}

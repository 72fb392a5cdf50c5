package io.beryldock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.measure.MembershipFleet.ServiceFactory;
import io.beryldock.measure.MembershipRun;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

final class MembershipRunTest {

    private static final long FIRST_SEED = 1;
    private static final long SEEDS = 150;
    private static final long SEEDS_FOR_BROKEN_RULES = 20;

    @Test
    void invariantsHoldThroughRandomFaults() {
        assertThat(violations(SEEDS, MembershipService::create)).isEmpty();
    }

    /**
     * With this rule a node that was marked as failed during a pause does not refute this after it resumes, so that its
     * target receives no more requests. The runs must report that a running node is missing from the directories.
     */
    @Test
    void missingRefutationIsDetected() {
        MergeRules broken = new MergeRules(MemberRecord::isNewerThan, false);
        assertThat(violations(SEEDS_FOR_BROKEN_RULES, withRules(broken))).isNotEmpty();
    }

    /**
     * With this rule the record received last wins. A delayed message of a replaced incarnation then restores the dead
     * incarnation, and calls are sent to it. The runs must report this.
     */
    @Test
    void ruleThatKeepsLastReceivedRecordIsDetected() {
        MergeRules broken = new MergeRules((found, held) -> !found.equals(held), true);
        assertThat(violations(SEEDS_FOR_BROKEN_RULES, withRules(broken))).isNotEmpty();
    }

    /**
     * With this rule only revisions are compared. The record of a replaced incarnation that ran for a long time has the
     * higher revision and therefore wins. The runs must report this.
     */
    @Test
    void ruleThatIgnoresIncarnationsIsDetected() {
        MergeRules broken = new MergeRules((found, held) -> found.revision() > held.revision(), true);
        assertThat(violations(SEEDS_FOR_BROKEN_RULES, withRules(broken))).isNotEmpty();
    }

    private static ServiceFactory withRules(MergeRules rules) {
        return (settings, self, transport, timers, random, events, store) ->
                MembershipService.create(settings, self, transport, timers, random, events, store, rules);
    }

    private static List<String> violations(long seeds, ServiceFactory factory) {
        return LongStream.range(FIRST_SEED, FIRST_SEED + seeds)
                .parallel()
                .boxed()
                .flatMap(seed -> MembershipRun.run(seed, factory).stream().map(text -> "seed " + seed + ": " + text))
                .toList();
    }
}

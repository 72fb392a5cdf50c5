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
    private static final long SEEDS_OF_BROKEN = 20;

    @Test
    void invariantsHoldThroughRandomFaults() {
        assertThat(violations(SEEDS, MembershipService::create)).isEmpty();
    }

    /**
     * A node is paused for some seconds and its data centre takes it for failed. It wakes, but does not deny. Its
     * target answers, yet no caller is sent there any more. Runs must notice that a running node stays away.
     */
    @Test
    void aNodeThatDoesNotDenyIsNoticed() {
        MergeRules broken = new MergeRules(MemberRecord::isNewerThan, false);
        assertThat(violations(SEEDS_OF_BROKEN, withRules(broken))).isNotEmpty();
    }

    /**
     * A VM is replaced by one of the same id. A message of the old start, held up somewhere, arrives later and is taken
     * for news: the dead start is back and calls are sent to it. Runs must notice it.
     */
    @Test
    void aRuleThatTakesTheLastRecordIsNoticed() {
        MergeRules broken = new MergeRules((found, held) -> !found.equals(held), true);
        assertThat(violations(SEEDS_OF_BROKEN, withRules(broken))).isNotEmpty();
    }

    /** As above, with a rule that looks at revisions only: the long-lived old start has the higher one. */
    @Test
    void aRuleThatForgetsStartsIsNoticed() {
        MergeRules broken = new MergeRules((found, held) -> found.revision() > held.revision(), true);
        assertThat(violations(SEEDS_OF_BROKEN, withRules(broken))).isNotEmpty();
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

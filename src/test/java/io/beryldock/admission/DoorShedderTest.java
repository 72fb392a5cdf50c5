package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class DoorShedderTest {

    private static final ServiceName LISTS = ServiceName.of("lists");
    private static final ServiceName HOLDINGS = ServiceName.of("holdings");
    private static final int BROWSING = 6;
    private static final int HALF_OF_BROWSING = BROWSING * ServiceLevel.STEPS + ServiceLevel.STEPS / 2;

    private final ManualTimerService timers = ManualTimerService.create();
    private final DoorShedder door = DoorShedder.create(timers.ticker(), new Random(1), GateFixture.FAILING_ON_BROKEN);

    @Example
    void deepestBottleneckShedsAtTheEntry() {
        observe(7, level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, HALF_OF_BROWSING));
        door.observe(LISTS, PriorityClass.LOWEST_RANK, List.of(level(HOLDINGS, HALF_OF_BROWSING)));
        assertThat(admits(0, ServiceLevel.STEPS - 1)).isTrue();
        assertThat(admits(BROWSING, ServiceLevel.STEPS / 2 - 1)).isTrue();
        assertThat(admits(BROWSING, ServiceLevel.STEPS / 2)).isFalse();
        assertThat(admits(PriorityClass.LOWEST_RANK, 0)).isFalse();
    }

    // One of nine targets of lists is sick and reports that it admits nothing; the others are well. A reader's page is
    // refused only if it meets the sick one, and another takes it then; the entry must not refuse everybody.
    @Example
    void oneBadTargetOfSeveralShedsHardlyAnythingAtTheEntry() {
        Random random = new Random(3);
        int shed = 0;
        for (int i = 0; i < 1_000; i++) {
            observe(1, level(LISTS, random.nextInt(9) == 0 ? 0 : ServiceLevel.OPEN));
            pass(5);
            shed += admits(BROWSING, 64) ? 0 : 1;
        }
        assertThat(shed).isLessThan(10);
    }

    // All targets of a service stop answering while the entry sheds: no answer brings a higher level. The entry must
    // not
    // stay closed for ever.
    @Example
    void closedEntryReopensByItselfWhenNoAnswersCome() {
        observe(7, level(LISTS, 0));
        assertThat(door.level(LISTS)).isZero();
        pass(1_000);
        assertThat(door.level(LISTS)).isZero();
        pass(2_000);
        assertThat(door.level(LISTS)).isBetween(1, ServiceLevel.OPEN - 1);
        pass(2_000);
        assertThat(door.level(LISTS)).isEqualTo(ServiceLevel.OPEN);
        assertThat(admits(PriorityClass.LOWEST_RANK, ServiceLevel.STEPS - 1)).isTrue();
    }

    // Only browsing comes in through this entry and all of it is shed, so no answers come. The overload ends; a trickle
    // of probes has to find that out, and while it lasts must stay a trickle.
    @Example
    void probesFindOutThatTheOverloadIsOver() {
        observe(7, level(LISTS, ServiceLevel.STEPS));
        int probes = 0;
        for (int i = 0; i < 1_000; i++) {
            pass(10);
            if (admits(BROWSING, 64)) {
                probes++;
                observe(1, level(LISTS, ServiceLevel.STEPS));
            }
        }
        assertThat(probes).isBetween(3, 10);
        observe(7, level(LISTS, ServiceLevel.OPEN));
        assertThat(admits(BROWSING, 64)).isTrue();
    }

    // Searches run at catalogue alone. Orders reach holdings through catalogue, and holdings is overloaded. A reader's
    // search must not be refused for a service that no search calls.
    @Example
    void overloadBeneathOneRankShedsNoOtherRankOfTheService() {
        ServiceName catalogue = ServiceName.of("catalogue");
        for (int i = 0; i < 7; i++) {
            door.observe(catalogue, 0, List.of(level(catalogue, ServiceLevel.OPEN), level(HOLDINGS, 20)));
            door.observe(catalogue, BROWSING, List.of(level(catalogue, ServiceLevel.OPEN)));
        }
        assertThat(door.decide(catalogue, BROWSING, 0).admitted()).isTrue();
        assertThat(door.decide(catalogue, 0, 100).admitted()).isFalse();
    }

    // Holdings is overloaded and all searches are shed, so none brings an answer. Orders go on and bring levels that
    // rise; searches must come back with them, not only when the old level has aged.
    @Example
    void answerToAnotherRankTellsThatTheOverloadIsOver() {
        observe(7, level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, 20));
        for (int i = 0; i < 7; i++) {
            door.observe(LISTS, 0, List.of(level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, ServiceLevel.OPEN)));
        }
        assertThat(admits(BROWSING, 64)).isTrue();
    }

    // Pages of lists are refused by the gate of lists, before they call holdings, which is overloaded. Such a refusal
    // says nothing of holdings; were it taken for "holdings admits all", the entry would open and send more.
    @Example
    void refusalBeforeARunSaysNothingOfWhatLiesBeneath() {
        observe(7, level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, 20));
        for (int i = 0; i < 7; i++) {
            door.observe(LISTS, BROWSING, List.of(level(LISTS, ServiceLevel.OPEN)));
        }
        assertThat(admits(BROWSING, 64)).isFalse();
        observe(7, level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, ServiceLevel.OPEN));
        assertThat(admits(BROWSING, 64)).isTrue();
    }

    @Property(tries = 200)
    void moreImportantRequestsAreNeverShedBeforeLessImportantOnes(
            @ForAll @IntRange(max = ServiceLevel.OPEN) int level, @ForAll int hash) {
        observe(7, level(LISTS, level));
        boolean shedBefore = false;
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            boolean shed = !admits(rank, hash);
            assertThat(shedBefore && !shed).isFalse();
            shedBefore = shed;
        }
    }

    private void observe(int times, ServiceLevel... levels) {
        for (int i = 0; i < times; i++) {
            door.observe(LISTS, BROWSING, List.of(levels));
        }
    }

    private boolean admits(int rank, int hash) {
        return door.decide(LISTS, rank, hash).admitted();
    }

    private void pass(long millis) {
        timers.advance(Duration.ofMillis(millis));
    }

    private static ServiceLevel level(ServiceName service, int level) {
        return new ServiceLevel(service, level);
    }
}

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

class EntryShedderTest {

    private static final ServiceName LISTS = ServiceName.of("lists");
    private static final ServiceName HOLDINGS = ServiceName.of("holdings");
    private static final int BROWSING = 6;
    private static final int HALF_OF_BROWSING_LEVEL = BROWSING * ServiceLevel.STEPS + ServiceLevel.STEPS / 2;

    private final ManualTimerService timers = ManualTimerService.create();
    private final EntryShedder shedder =
            EntryShedder.create(timers.ticker(), new Random(1), GateFixture.FAIL_ON_VIOLATION);

    @Example
    void lowestLevelBelowTheServiceShedsAtTheEntry() {
        observe(7, level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, HALF_OF_BROWSING_LEVEL));
        shedder.observe(LISTS, PriorityClass.LOWEST_RANK, List.of(level(HOLDINGS, HALF_OF_BROWSING_LEVEL)));
        assertThat(admits(0, ServiceLevel.STEPS - 1)).isTrue();
        assertThat(admits(BROWSING, ServiceLevel.STEPS / 2 - 1)).isTrue();
        assertThat(admits(BROWSING, ServiceLevel.STEPS / 2)).isFalse();
        assertThat(admits(PriorityClass.LOWEST_RANK, 0)).isFalse();
    }

    // One of nine targets of lists is overloaded and reports that it admits nothing, while the others admit all. A
    // request is refused only by the overloaded target and can then run on another one, so the entry must not shed all
    // requests.
    @Example
    void oneOverloadedTargetOfSeveralShedsAlmostNothingAtTheEntry() {
        Random random = new Random(3);
        int shed = 0;
        for (int i = 0; i < 1_000; i++) {
            observe(1, level(LISTS, random.nextInt(9) == 0 ? 0 : ServiceLevel.OPEN));
            advance(5);
            shed += admits(BROWSING, 64) ? 0 : 1;
        }
        assertThat(shed).isLessThan(10);
    }

    // All targets of a service stop answering while the entry sheds, so no answer brings a higher level. The entry must
    // not stay closed permanently.
    @Example
    void closedEntryReopensByItselfWhenNoAnswersCome() {
        observe(7, level(LISTS, 0));
        assertThat(shedder.level(LISTS)).isZero();
        advance(1_000);
        assertThat(shedder.level(LISTS)).isZero();
        advance(2_000);
        assertThat(shedder.level(LISTS)).isBetween(1, ServiceLevel.OPEN - 1);
        advance(2_000);
        assertThat(shedder.level(LISTS)).isEqualTo(ServiceLevel.OPEN);
        assertThat(admits(PriorityClass.LOWEST_RANK, ServiceLevel.STEPS - 1)).isTrue();
    }

    // Only browsing arrives at this entry and all of it is shed, so no answers arrive. Infrequent probes have to detect
    // the end of the overload, and must stay infrequent while it lasts.
    @Example
    void probesDetectTheEndOfAnOverload() {
        observe(7, level(LISTS, ServiceLevel.STEPS));
        int probes = 0;
        for (int i = 0; i < 1_000; i++) {
            advance(10);
            if (admits(BROWSING, 64)) {
                probes++;
                observe(1, level(LISTS, ServiceLevel.STEPS));
            }
        }
        assertThat(probes).isBetween(3, 10);
        observe(7, level(LISTS, ServiceLevel.OPEN));
        assertThat(admits(BROWSING, 64)).isTrue();
    }

    // Searches run at catalogue alone. Orders reach holdings through catalogue, and holdings is overloaded. A search
    // must not be refused for a service that no search calls.
    @Example
    void overloadBelowOneRankShedsNoOtherRankOfTheService() {
        ServiceName catalogue = ServiceName.of("catalogue");
        for (int i = 0; i < 7; i++) {
            shedder.observe(catalogue, 0, List.of(level(catalogue, ServiceLevel.OPEN), level(HOLDINGS, 20)));
            shedder.observe(catalogue, BROWSING, List.of(level(catalogue, ServiceLevel.OPEN)));
        }
        assertThat(shedder.decide(catalogue, BROWSING, 0).admitted()).isTrue();
        assertThat(shedder.decide(catalogue, 0, 100).admitted()).isFalse();
    }

    // Holdings is overloaded and all searches are shed, so they bring no answers. Orders continue and bring rising
    // levels; searches must be admitted again because of these, and not only once the old level has aged.
    @Example
    void answerToAnotherRankReportsTheEndOfAnOverload() {
        observe(7, level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, 20));
        for (int i = 0; i < 7; i++) {
            shedder.observe(LISTS, 0, List.of(level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, ServiceLevel.OPEN)));
        }
        assertThat(admits(BROWSING, 64)).isTrue();
    }

    // Requests are refused by the gate of lists before they call holdings, which is overloaded. Such a refusal is no
    // evidence about holdings; if it were taken to mean that holdings admits all, the entry would open and admit more.
    @Example
    void refusalBeforeExecutionIsNoEvidenceAboutServicesBelow() {
        observe(7, level(LISTS, ServiceLevel.OPEN), level(HOLDINGS, 20));
        for (int i = 0; i < 7; i++) {
            shedder.observe(LISTS, BROWSING, List.of(level(LISTS, ServiceLevel.OPEN)));
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
            shedder.observe(LISTS, BROWSING, List.of(levels));
        }
    }

    private boolean admits(int rank, int hash) {
        return shedder.decide(LISTS, rank, hash).admitted();
    }

    private void advance(long millis) {
        timers.advance(Duration.ofMillis(millis));
    }

    private static ServiceLevel level(ServiceName service, int level) {
        return new ServiceLevel(service, level);
    }
}

package io.beryldock.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.beryldock.measure.Scenario.LoadStep;
import io.beryldock.measure.Scenario.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ArrivalScheduleTest {

    private static final Topology TOPOLOGY = Samples.topology(Samples.service("lists", 10, 1));
    private static final Scenario SURGE = Samples.scenario(new LoadStep(new Span(0.4, 0.6), 3));

    private static List<UserRequest> all(Scenario scenario, long seed) {
        List<UserRequest> list = new ArrayList<>();
        ArrivalSchedule schedule = ArrivalSchedule.create(TOPOLOGY, scenario, seed);
        for (Optional<UserRequest> next = schedule.next(); next.isPresent(); next = schedule.next()) {
            list.add(next.get());
        }
        return list;
    }

    private static long between(List<UserRequest> list, double from, double until) {
        return list.stream()
                .filter(request -> request.asked() >= from * 1e9 && request.asked() < until * 1e9)
                .count();
    }

    @Test
    void theSameSeedGivesTheSameArrivals() {
        assertThat(all(SURGE, 7)).usingRecursiveFieldByFieldElementComparator().isEqualTo(all(SURGE, 7));
        assertThat(all(SURGE, 8)).hasSizeBetween(1, 10_000).isNotEqualTo(all(SURGE, 7));
    }

    @Test
    void arrivalsFollowTheLoad() {
        List<UserRequest> list = all(SURGE, 1);
        assertThat(between(list, 0, 4)).isCloseTo(400, within(100L));
        assertThat(between(list, 4, 6)).isCloseTo(600, within(125L));
        assertThat(between(list, 6, 10)).isCloseTo(400, within(100L));
    }

    @Test
    void tokensAreUniqueAndThoseOfTheWarmUpDiffer() {
        List<UserRequest> list = all(SURGE, 1);
        assertThat(list.stream().map(UserRequest::token).distinct().count()).isEqualTo(list.size());
        Scenario warm =
                new Scenario("test", "", "test", 2, 10, SURGE.cause(), SURGE.load(), Samples.PATIENT, SURGE.faults());
        UserRequest first = ArrivalSchedule.ofWarmUp(TOPOLOGY, warm, 1).next().orElseThrow();
        assertThat(list).extracting(UserRequest::token).doesNotContain(first.token());
    }
}

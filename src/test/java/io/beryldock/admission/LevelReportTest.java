package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class LevelReportTest {

    private static final ServiceName LISTS = ServiceName.of("lists");
    private static final ServiceName ORDERS = ServiceName.of("orders");
    private static final ServiceName HOLDINGS = ServiceName.of("holdings");
    private static final ServiceLevel OWN = new ServiceLevel(LISTS, 900);

    private final LevelReport report = LevelReport.create();

    private static ServiceLevel level(ServiceName service, int level) {
        return new ServiceLevel(service, level);
    }

    // Orders and lists run at the same node, and holdings, which only lists calls, is overloaded. If holdings were
    // reported below orders, orders would be shed for a service that they never call.
    @Test
    void reportNamesOnlyServicesThatItsExecutionCalled() {
        report.add(HOLDINGS, ImmutableList.of(level(HOLDINGS, 200)));
        assertThat(report.with(OWN)).containsExactly(OWN, level(HOLDINGS, 200));
        assertThat(LevelReport.create().with(level(ORDERS, 900))).containsExactly(level(ORDERS, 900));
    }

    @Test
    void reportIsBoundedToTheLowestLevels() {
        IntStream.range(0, 30).forEach(i -> {
            ServiceName service = ServiceName.of("service-" + i);
            report.add(service, ImmutableList.of(level(service, 10 + i)));
        });
        assertThat(report.with(OWN)).hasSize(LevelReport.MAX_REPORTED);
        assertThat(report.with(OWN).get(1)).isEqualTo(level(ServiceName.of("service-0"), 10));
    }

    // Lists and holdings call each other. An overload of catalogue has ended, but each service could repeat the last
    // report of the other. A later execution must not pass on levels that an earlier one received.
    @Test
    void outdatedReportIsNotKeptAliveByACycleOfServices() {
        ServiceName catalogue = ServiceName.of("catalogue");
        report.add(HOLDINGS, ImmutableList.of(level(HOLDINGS, 900), level(catalogue, 500)));
        LevelReport later = LevelReport.create();
        later.add(HOLDINGS, ImmutableList.of(level(HOLDINGS, 900)));
        assertThat(later.with(OWN)).containsExactly(OWN, level(HOLDINGS, 900));
    }

    // A third of the inner calls cannot be attributed to their execution. If holdings counted as open for each
    // execution that does not name it, the entry would admit requests that fail at holdings.
    @Test
    void openServicesAreNamedAndLaterAnswersReplaceEarlierOnes() {
        report.add(HOLDINGS, ImmutableList.of(level(HOLDINGS, 200)));
        report.add(HOLDINGS, ImmutableList.of(level(HOLDINGS, ServiceLevel.OPEN)));
        assertThat(report.with(OWN)).containsExactly(OWN, level(HOLDINGS, ServiceLevel.OPEN));
    }
}

package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import io.beryldock.measure.Scenario.LoadStep;
import io.beryldock.measure.Scenario.Patience;
import io.beryldock.measure.Scenario.Span;
import io.beryldock.measure.Topology.CallerClass;
import io.beryldock.measure.Topology.KeyKind;
import io.beryldock.measure.UserRequest.Verdict;

/** Small scenarios and requests for tests. */
final class Samples {

    static final CallerClass PAGE = new CallerClass("page", "GET", "/lists", 80, KeyKind.NONE);
    static final CallerClass ORDER = new CallerClass("order", "POST", "/orders", 20, KeyKind.TICKET);
    static final Patience PATIENT = new Patience(1000, 0, 0, true);

    private Samples() {}

    static Topology topology(Topology.Service... services) {
        return new Topology(
                "vandermeulen",
                ImmutableList.of("gent-a"),
                ImmutableList.copyOf(services),
                ImmutableList.of(PAGE, ORDER),
                10);
    }

    static Topology.Service service(String name, int slots, double millis) {
        return new Topology.Service(name, 1, slots, millis, null, null);
    }

    static Scenario scenario(LoadStep... steps) {
        return new Scenario(
                "test",
                "",
                "test",
                0,
                10,
                new Span(0.4, 0.6),
                ImmutableList.copyOf(steps),
                PATIENT,
                ImmutableList.of());
    }

    /** A request that was asked then and has ended so, its last verdict last. */
    static UserRequest ended(CallerClass callers, String token, double seconds, Verdict... verdicts) {
        UserRequest request = new UserRequest(callers, token, callers.path() + "/1", 1, (long) (seconds * 1e9));
        for (Verdict verdict : verdicts) {
            request.add(verdict);
        }
        request.end(request.asked() + 1);
        return request;
    }
}

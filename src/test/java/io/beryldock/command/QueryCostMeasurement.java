package io.beryldock.command;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.Optional;

/**
 * Prints messages and bytes of statements over data centres of several sizes, on a fake network; run by hand.
 *
 * <p>Every node has refused requests of three classes and recorded one event a second for a minute.
 */
final class QueryCostMeasurement {

    private static final int SECONDS = 60;
    private static final double KILOBYTE = 1024;
    private static final int[] SIZES = {10, 100, 710};
    private static final String[] STATEMENTS = {
        "show targets", "show shed", "show levels", "show timeline last 1m", "show targets everywhere"
    };

    private QueryCostMeasurement() {}

    public static void main(String[] args) {
        System.out.println("nodes  statement                 requests  KB sent  KB received  rows  ms in all");
        for (int size : SIZES) {
            FakeDeployment deployment = FakeDeployment.start(1, size, "gent-a", "gent-b");
            fill(deployment);
            for (String statement : STATEMENTS) {
                print(deployment, size, statement);
            }
        }
    }

    private static void fill(FakeDeployment deployment) {
        for (int second = 0; second < SECONDS; second++) {
            int number = second;
            deployment.nodes.values().forEach(node -> fill(node, number));
            deployment.advance(Duration.ofSeconds(1));
        }
    }

    private static void fill(FakeNode node, int number) {
        node.refusals.record(
                Reason.SHED_AT_DOOR,
                PriorityClass.of("class-" + number % 3, number % 3),
                ServiceName.of("holdings"),
                ServiceName.of("lists"));
        Optional<RequestId> request = Optional.of(new RequestId(node.self.incarnation(), number));
        node.events.record(EventKind.SHED_AT_DOOR, request, "holdings", "class browsing, level 832 of 1024");
    }

    private static void print(FakeDeployment deployment, int size, String statement) {
        deployment.requests.clear();
        deployment.bytesAsked = 0;
        deployment.bytesAnswered = 0;
        long before = System.nanoTime();
        OperatorResponse response = deployment.ask("gent-a-lists-1", statement);
        double millis = (System.nanoTime() - before) / 1e6;
        System.out.printf(
                "%5d  %-24s  %8d  %7.1f  %11.1f  %4d  %.1f%n",
                size,
                statement,
                deployment.requests.size(),
                deployment.bytesAsked / KILOBYTE,
                deployment.bytesAnswered / KILOBYTE,
                response.table().rows().size(),
                millis);
    }
}

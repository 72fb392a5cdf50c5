package io.beryldock.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import io.beryldock.command.OperatorResponse.Status;
import io.beryldock.store.StoreFaults;
import io.beryldock.timeline.Event;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class OperatorServiceTest {

    private static final String ASKED = "gent-a-lists-1";

    private static ImmutableList<Object> column(OperatorResponse response, String name) {
        int position =
                response.table().columns().stream().map(Column::name).toList().indexOf(name);
        return response.table().rows().stream()
                .map(row -> row.get(position).value())
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * An operator sees no trouble in a table that lacks the one node in trouble: it is paused and does not answer. The
     * answer has to name it, and to come although it does not.
     */
    @Test
    void nodesThatDoNotAnswerInTimeAreNamed() {
        FakeDeployment deployment = FakeDeployment.start(1, 5, "gent-a");
        deployment.silent.add("gent-a-lists-3");
        deployment.unreachable.add("gent-a-lists-5");
        long before = deployment.timers.ticker().nanos();
        OperatorResponse response = deployment.ask(ASKED, "show targets");
        assertThat(response.status()).isEqualTo(Status.PARTIAL);
        assertThat(response.silentNodes()).containsExactly("gent-a-lists-3", "gent-a-lists-5");
        assertThat(column(response, "target")).containsExactly("gent-a-lists-1", "gent-a-lists-2", "gent-a-lists-4");
        Duration took = Duration.ofNanos(deployment.timers.ticker().nanos() - before);
        assertThat(took).isLessThanOrEqualTo(QueryGatherer.NODE_TIMEOUT.plusMillis(100));
    }

    @Test
    void otherDataCentresAreAskedThroughOneOfTheirNodes() {
        FakeDeployment deployment = FakeDeployment.start(2, 8, "gent-a", "gent-b", "gent-c");
        deployment.requests.clear();
        OperatorResponse response = deployment.ask(ASKED, "show nodes everywhere");
        assertThat(response.answered()).isEqualTo(24);
        assertThat(deployment.requests)
                .filteredOn(request -> request.startsWith(ASKED) && !request.contains("to gent-a"))
                .hasSize(2);
        assertThat(deployment.requests).hasSize(7 + 2 * 8);
    }

    /** The node asked for its data centre is paused; without a second one the whole data centre would be missing. */
    @Test
    void anotherNodeIsAskedWhenTheFirstOfItsDataCentreDoesNotAnswer() {
        FakeDeployment deployment = FakeDeployment.start(3, 2, "gent-a", "gent-b");
        deployment.silent.add("gent-b-lists-1");
        for (int i = 0; i < 6; i++) {
            OperatorResponse response = deployment.ask(ASKED, "show nodes everywhere");
            assertThat(response.silentDataCentres()).isEmpty();
            assertThat(response.silentNodes()).containsExactly("gent-b-lists-1");
        }
        deployment.silent.add("gent-b-lists-2");
        assertThat(deployment.ask(ASKED, "show nodes everywhere").silentDataCentres())
                .containsExactly("gent-b");
    }

    /**
     * A data centre of 710 nodes loses its network: each request is refused at once. The gathering node asked the next
     * from within the failure of the one before, 710 deep, and its stack overflowed.
     */
    @Test
    void hundredsOfRefusalsAtOnceAreAllNamed() {
        FakeDeployment deployment = FakeDeployment.start(4, 710, "gent-a");
        deployment.unreachable.addAll(deployment.ids());
        OperatorResponse response = deployment.ask(ASKED, "show shed");
        assertThat(response.answered()).isEqualTo(1);
        assertThat(response.silentNodes()).hasSize(709);
    }

    /** Half of a large data centre is paused: neither hundreds of open requests nor a wait for each in turn will do. */
    @Test
    void largeDataCentreIsAskedABoundedNumberAtOnceInBoundedTime() {
        FakeDeployment deployment = FakeDeployment.start(5, 400, "gent-a");
        deployment.ids().stream().filter(id -> id.hashCode() % 2 == 0).forEach(deployment.silent::add);
        deployment.silent.remove(ASKED);
        deployment.mostOpen = 0;
        long before = deployment.timers.ticker().nanos();
        OperatorResponse response = deployment.ask(ASKED, "show targets");
        Duration took = Duration.ofNanos(deployment.timers.ticker().nanos() - before);
        assertThat(deployment.mostOpen).isLessThanOrEqualTo(QueryGatherer.MAX_CONCURRENT);
        assertThat(took).isLessThanOrEqualTo(QueryGatherer.DATA_CENTRE_BUDGET.plusMillis(100));
        assertThat(response.answered() + response.silentNodes().size()).isEqualTo(400);
    }

    @Test
    void nodeThatFailsToAnswerIsNamedWithItsReason() {
        FakeDeployment deployment = FakeDeployment.start(6, 2, "gent-a");
        deployment.nodes.get("gent-a-lists-2").inspector =
                show -> CompletableFuture.failedFuture(new IllegalStateException("no such column"));
        OperatorResponse response = deployment.ask(ASKED, "show levels");
        assertThat(response.silentNodes()).containsExactly("gent-a-lists-2");
        assertThat(response.notes()).singleElement().asString().contains("gent-a-lists-2", "no such column");
    }

    @Test
    void refusalsAreSummedOverNodesAndDataCentres() {
        FakeDeployment deployment = FakeDeployment.start(7, 3, "gent-a", "gent-b");
        deployment.nodes.values().forEach(node -> {
            for (int i = 0; i < 10; i++) {
                node.refusals.record(
                        Reason.SHED_AT_DOOR,
                        PriorityClass.of("browsing", 7),
                        ServiceName.of("holdings"),
                        ServiceName.of("lists"));
            }
        });
        assertThat(column(deployment.ask(ASKED, "show shed"), "shed")).containsExactly(30L);
        assertThat(column(deployment.ask(ASKED, "show shed everywhere"), "shed"))
                .containsExactly(60L);
    }

    /** A request was shed in gent-b; the operator, who has its id only, asks a node of gent-a. */
    @Test
    void whyFindsTheDataCentreThatTookTheRequestIn() {
        FakeDeployment deployment = FakeDeployment.start(8, 2, "gent-a", "gent-b", "gent-c");
        FakeNode entry = deployment.nodes.get("gent-b-lists-2");
        RequestId id = new RequestId(entry.self.incarnation(), 77);
        entry.events.record(EventKind.SHED_AT_DOOR, Optional.of(id), "holdings", "class browsing");
        OperatorResponse response = deployment.ask(ASKED, "why " + id);
        assertThat(column(response, "node")).containsExactly("gent-b-lists-2");
        assertThat(response.answered()).isEqualTo(4);
    }

    @Test
    void timelineOfAllNodesReadsBack() {
        FakeDeployment deployment = FakeDeployment.start(9, 2, "gent-a", "gent-b");
        deployment.nodes.values().forEach(node -> node.events.record(EventKind.LIMIT_CHANGED, "lists", "15 to 9"));
        OperatorResponse response = deployment.ask(ASKED, "show timeline last 1m everywhere");
        ImmutableList<Event> events = TimelineTable.events(response.table());
        assertThat(events).isSortedAccordingTo(Event.CAUSAL_ORDER);
        assertThat(events)
                .filteredOn(event -> event.kind() == EventKind.LIMIT_CHANGED)
                .extracting(event -> event.node().value())
                .containsExactlyInAnyOrderElementsOf(deployment.ids());
    }

    @Test
    void oneNodeIsAskedAloneWhereverItIs() {
        FakeDeployment deployment = FakeDeployment.start(15, 4, "gent-a", "gent-b");
        deployment.requests.clear();
        OperatorResponse response = deployment.ask(ASKED, "show tickets node gent-b-lists-3");
        assertThat(column(response, "node")).containsExactly("gent-b-lists-3");
        assertThat(deployment.requests).containsExactly(ASKED + " to gent-b-lists-3");
        assertThat(column(deployment.ask(ASKED, "show targets service lists"), "target"))
                .hasSize(4);
        assertThat(column(deployment.ask(ASKED, "show targets service orders"), "target"))
                .isEmpty();
        assertThat(deployment.ask(ASKED, "show nodes node gent-z").silentNodes())
                .containsExactly("gent-z");
    }

    /** More rows than an answer may hold: the latest stay, and the operator is told that there were more. */
    @Test
    void rowsBeyondTheBoundAreLeftOutAndCounted() {
        FakeDeployment deployment = FakeDeployment.start(10, 1, "gent-a");
        FakeNode node = deployment.nodes.get(ASKED);
        QueryTable.Builder table = QueryTable.builder(ShowColumns.TARGETS);
        for (int i = 0; i < QueryGatherer.MAX_ROWS + 5; i++) {
            table.row("lists", "t" + i, "gent-a", "ready", 1, 1, 0, 0);
        }
        node.inspector = show -> CompletableFuture.completedFuture(table.build());
        OperatorResponse response = deployment.ask(ASKED, "show targets");
        assertThat(response.table().rows()).hasSize(QueryGatherer.MAX_ROWS);
        assertThat(response.notes()).singleElement().asString().startsWith("5 rows were left out");
    }

    /**
     * Two operators set one class at the same moment at nodes of different data centres. Both must not read "accepted"
     * while one value is gone: the later is told the other's value, and by what statement to replace it.
     */
    @Test
    void laterOfTwoOperatorsOnOneSettingIsToldTheFirstOnesValue() {
        FakeDeployment deployment = FakeDeployment.start(11, 2, "gent-a", "gent-b");
        deployment.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(20)));
        CompletableFuture<OperatorResponse> first =
                deployment.nodes.get(ASKED).operators.handle("ann", "set class browsing priority 5");
        CompletableFuture<OperatorResponse> second =
                deployment.nodes.get("gent-b-lists-1").operators.handle("bob", "set class browsing priority 6");
        assertThat(deployment.finish(first).status()).isEqualTo(Status.OK);
        OperatorResponse told = deployment.finish(second);
        assertThat(told.status()).isEqualTo(Status.CONFLICT);
        assertThat(told.error().orElseThrow().message()).contains("'priority 5'", "ann");
        String remedy = told.error().orElseThrow().remedy().orElseThrow();
        String statement = remedy.substring(remedy.indexOf("set class"));
        assertThat(deployment.ask("gent-b-lists-1", statement).status()).isEqualTo(Status.OK);
    }

    /** The store wrote the change and its answer was lost; read back, it is accepted, not unknown. */
    @Test
    void changeWhoseAnswerWasLostIsSettled() {
        FakeDeployment deployment = FakeDeployment.start(12, 2, "gent-a");
        deployment.store.setFaults(StoreFaults.none().withLoseNext(1));
        OperatorResponse response = deployment.ask(ASKED, "set class browsing priority 6");
        assertThat(response.status()).isEqualTo(Status.OK);
        assertThat(response.change().orElseThrow().inForce()).containsExactly("gent-a");
    }

    @Test
    void drainGoesToTheTargetsNodeWithoutTheStore() {
        FakeDeployment deployment = FakeDeployment.start(13, 2, "gent-a", "gent-b");
        deployment.store.setFaults(StoreFaults.none().withDown(true));
        assertThat(deployment.ask(ASKED, "drain target gent-b-lists-2").status())
                .isEqualTo(Status.OK);
        OperatorResponse response = deployment.ask(ASKED, "show targets everywhere");
        assertThat(column(response, "state")).containsExactly("ready", "ready", "ready", "leaving");
    }

    @Test
    void responseReadsBackFromJson() throws Exception {
        FakeDeployment deployment = FakeDeployment.start(14, 1, "gent-a");
        for (String statement : ImmutableList.of(
                "show tickets", "show timeline", "show levels by", "set class page priority 1", "drain target x")) {
            OperatorResponse response = deployment.ask(ASKED, statement);
            assertThat(JsonRenderer.read(JsonRenderer.render(response))).isEqualTo(response);
        }
        QueryTable table = QueryTable.builder(ShowColumns.CHANGES)
                .row(1, null, "lien", "now", 2.5)
                .build();
        OperatorResponse response = new OperatorResponse(
                Status.OK,
                "show changes",
                table,
                1,
                ImmutableList.of(),
                ImmutableList.of(),
                ImmutableList.of(),
                Optional.empty(),
                Optional.empty());
        String json = JsonRenderer.render(response);
        assertThat(JsonRenderer.read(json.replace("{\"status\"", "{\"ofLaterRelease\":1,\"status\"")))
                .isEqualTo(response);
    }
}

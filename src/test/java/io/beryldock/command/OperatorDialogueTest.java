package io.beryldock.command;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import io.beryldock.golden.GoldenFile;
import io.beryldock.store.StoreFaults;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Whole dialogues of an operator with seeded deployments, as the table form of the client prints them. */
class OperatorDialogueTest {

    private final FakeDeployment deployment = FakeDeployment.start(41, 2, "gent-a", "gent-b");
    private final StringBuilder dialogue = new StringBuilder();

    private void say(String node, String statement) {
        OperatorResponse response = deployment.ask(node, statement);
        dialogue.append(node).append("> ").append(statement).append('\n');
        dialogue.append(TableRenderer.render(response));
        dialogue.append("exit code ").append(response.status().exitCode()).append("\n\n");
    }

    private void say(String statement) {
        say("gent-a-lists-1", statement);
    }

    private void remark(String text) {
        dialogue.append("# ").append(text).append("\n\n");
    }

    private RequestId shed(String node, int number) {
        FakeNode at = deployment.nodes.get(node);
        RequestId id = new RequestId(at.self.incarnation(), number);
        at.refusals.record(
                number % 3 == 0 ? Reason.QUEUED_TOO_LONG : Reason.SHED_AT_DOOR,
                PriorityClass.of(number % 4 == 0 ? "page" : "browsing", number % 4 == 0 ? 3 : 7),
                ServiceName.of("holdings"),
                ServiceName.of("catalogue"));
        at.events.record(EventKind.SHED_AT_DOOR, Optional.of(id), "holdings", "class browsing, level 832 of 1024");
        return id;
    }

    @Test
    void queries() {
        deployment.nodes.get("gent-b-lists-1").events.record(EventKind.LEVEL_CHANGED, "holdings", "1024 to 832");
        deployment.advance(Duration.ofMillis(20));
        RequestId id = shed("gent-b-lists-1", 1);
        for (int i = 2; i < 40; i++) {
            shed(deployment.ids().get(i % 4), i);
            deployment.advance(Duration.ofMillis(70));
        }
        say("show shed");
        say("show shed by service everywhere");
        say("show shed by caller last 1m");
        say("show targets");
        say("show targets everywhere");
        say("show nodes everywhere");
        say("show levels everywhere");
        say("show retries");
        say("show tickets");
        say("show connections");
        say("show quarantine everywhere");
        say("why " + id);
        say("why 000000000000000000000000000000ff-1");
        say("show timeline last 1s everywhere");
        GoldenFile.check("dialogue-queries.txt", dialogue.toString());
    }

    @Test
    void changes() {
        say("explain set class browsing priority 6");
        say("set class browsing priority 6");
        say("gent-b-lists-2", "set budget standard share 5%");
        say("set budget evening retries 1");
        say("set route /orders methods POST service orders class order");
        say("set route /orders DELETE,PATCH,POST,PUT deadline 8s");
        say("set route /terms service lists class page");
        say("mark route /terms non-idempotent");
        say("remove route /nowhere");
        say("set class browsing priority 5 based on version 0");
        say("show changes");
        say("show configuration");
        say("explain drain target gent-b-lists-1");
        say("drain target gent-b-lists-1");
        say("show targets everywhere");
        say("undrain target gent-b-lists-1");
        say("drain target gent-z-lists-1");
        say("restore configuration");
        GoldenFile.check("dialogue-changes.txt", dialogue.toString());
    }

    @Test
    void faults() {
        remark("gent-a-lists-2 is paused, nobody in gent-b can be reached");
        deployment.silent.add("gent-a-lists-2");
        deployment.unreachable.add("gent-b-lists-1");
        deployment.unreachable.add("gent-b-lists-2");
        say("show targets");
        say("show targets everywhere");
        say("drain target gent-a-lists-2");
        say("drain target gent-b-lists-1");
        say("set class browsing priority 6");
        say("show configuration");
        remark("the platform store can't be reached");
        deployment.store.setFaults(StoreFaults.none().withDown(true));
        say("set class browsing priority 5");
        say("drain target gent-a-lists-1");
        GoldenFile.check("dialogue-faults.txt", dialogue.toString());
    }

    @Test
    void mistakes() {
        say("shw targets");
        say("show");
        say("show shed by node");
        say("show shed last 2h");
        say("show shed by class by service");
        say("why 17");
        say("set class browsing priority 9");
        say("set route orders service orders class order");
        say("drain target");
        say("show targets; drop");
        GoldenFile.check("dialogue-mistakes.txt", dialogue.toString());
    }
}

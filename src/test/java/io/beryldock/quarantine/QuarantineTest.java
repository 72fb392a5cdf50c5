package io.beryldock.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.QuarantineDelta;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class QuarantineTest {

    private static final ServiceName HOLDINGS = ServiceName.of("holdings");
    private static final RequestIds IDS = RequestIds.of(Incarnation.random(new Random(1)));
    private static final Fingerprint CRASHER = request("GET", "/holdings/bad");
    private static final Fingerprint HARMLESS = request("GET", "/holdings/7");

    private final ManualTimerService time = ManualTimerService.create();
    private final Quarantine first = quarantine("a");
    private final Quarantine second = quarantine("b");
    private final Quarantine third = quarantine("c");

    static Fingerprint request(String method, String path) {
        RequestId id = IDS.next();
        CallContext context = new CallContext(id, id, PriorityClass.of("browsing", 5), 1, 0, 0, 0, 0, false);
        return Fingerprint.of(new Call(
                id,
                Call.OUTSIDE,
                HOLDINGS,
                method,
                path,
                Headers.empty(),
                ByteString.EMPTY,
                true,
                Optional.empty(),
                context));
    }

    static NodeDescriptor node(String name) {
        InetSocketAddress address = InetSocketAddress.createUnresolved("127.0.0.1", 1);
        return new NodeDescriptor(
                NodeId.of(name), new Incarnation(name.hashCode(), 1), DataCentre.of("gent-a"), address);
    }

    private Quarantine quarantine(String name) {
        return Quarantine.create(node(name), time.ticker(), QuarantineSettings.defaults(), EventSink.none());
    }

    private void spread() {
        List<Quarantine> all = List.of(first, second, third);
        for (Quarantine from : all) {
            QuarantineDelta delta = from.takeChanges();
            all.stream().filter(to -> to != from).forEach(to -> to.merge(delta));
        }
    }

    /**
     * Guards against a request whose data makes the target run out of memory: the target crashes, the browser resends
     * the request, the next target crashes, and so on until no target of the service is left.
     */
    @Test
    void aCrashingRequestTakesDownTwoTargetsAtMost() {
        assertThat(first.onStarted(CRASHER)).isTrue();
        first.onTargetCrashed(List.of(CRASHER, HARMLESS));
        spread();
        Fingerprint resent = request("GET", "/holdings/bad");
        assertThat(second.verdict(resent)).isEqualTo(Verdict.ALONE);
        assertThat(second.onStarted(resent)).isTrue();
        second.onTargetCrashed(List.of(resent));
        spread();
        for (Quarantine node : List.of(first, second, third)) {
            assertThat(node.verdict(resent)).isEqualTo(Verdict.REFUSED);
            assertThat(node.onStarted(resent)).isFalse();
        }
        assertThat(third.verdict(HARMLESS)).isEqualTo(Verdict.ALONE);
    }

    /** Requests that were in flight at the crash by chance must neither stay slow nor be refused. */
    @Test
    void harmlessRequestsAreClearedAtAllNodesOnceTheyComplete() {
        first.onTargetCrashed(List.of(CRASHER, HARMLESS));
        spread();
        assertThat(second.onStarted(HARMLESS)).isTrue();
        assertThat(second.onStarted(CRASHER)).as("one suspect at a time").isFalse();
        second.onCompleted(HARMLESS);
        assertThat(second.onStarted(CRASHER)).isTrue();
        spread();
        for (Quarantine node : List.of(first, second, third)) {
            assertThat(node.verdict(HARMLESS)).isEqualTo(Verdict.FREE);
        }
        first.merge(first.export());
        third.merge(second.export());
        assertThat(third.verdict(HARMLESS)).isEqualTo(Verdict.FREE);
    }

    /**
     * Two targets are killed in the same second with a popular start page in flight at both. Refusing the page for a
     * quarter of an hour would be worse than the crash.
     */
    @Test
    void aPopularRequestAtTwoCrashesAtOnceIsNotRefused() {
        first.onStarted(HARMLESS);
        second.onStarted(HARMLESS);
        first.onTargetCrashed(List.of(HARMLESS));
        second.onTargetCrashed(List.of(HARMLESS));
        spread();
        assertThat(third.verdict(HARMLESS)).isEqualTo(Verdict.ALONE);
        third.onStarted(HARMLESS);
        third.onCompleted(HARMLESS);
        spread();
        assertThat(first.verdict(HARMLESS)).isEqualTo(Verdict.FREE);
    }

    /** A call ended without an answer and without a crash: its slot must go to the next suspect. */
    @Test
    void anAbandonedRunFreesTheSlotOnly() {
        first.onTargetCrashed(List.of(CRASHER, HARMLESS));
        first.onStarted(CRASHER);
        first.onAbandoned(CRASHER);
        assertThat(first.verdict(CRASHER)).isEqualTo(Verdict.ALONE);
        assertThat(first.onStarted(HARMLESS)).isTrue();
    }

    /**
     * A request crashes a whole VM, node and target. Only the node that sent the request notices, by its lost
     * connection; the crashed node can't report anything.
     */
    @Test
    void aRequestThatCrashesNodesIsRefusedToo() {
        first.onNodeLost(CRASHER, node("x"));
        assertThat(first.verdict(CRASHER)).isEqualTo(Verdict.ALONE);
        time.advance(Duration.ofSeconds(12));
        first.onNodeLost(CRASHER, node("y"), true);
        assertThat(first.verdict(CRASHER)).isEqualTo(Verdict.REFUSED);
        first.onNodeFailed(node("y"));
        spread();
        time.advance(Duration.ofMinutes(14));
        assertThat(second.verdict(CRASHER)).isEqualTo(Verdict.REFUSED);
        time.advance(Duration.ofMinutes(2));
        assertThat(second.verdict(CRASHER)).isEqualTo(Verdict.FREE);
    }

    /** A connection stalled and its calls ended UNKNOWN, but the node is alive: nothing has crashed. */
    @Test
    void aNodeThatAnswersAgainClearsTheSuspicion() {
        first.onNodeLost(HARMLESS, node("x"));
        spread();
        assertThat(second.verdict(HARMLESS)).isEqualTo(Verdict.ALONE);
        first.onNodeAnswered(node("x"));
        spread();
        assertThat(second.verdict(HARMLESS)).isEqualTo(Verdict.FREE);
        first.onNodeLost(CRASHER, node("x"));
        time.advance(Duration.ofSeconds(21));
        assertThat(first.verdict(CRASHER)).as("never confirmed").isEqualTo(Verdict.FREE);
    }

    /** A rack loses power: all its nodes fail at once, with harmless requests in flight that are resent meanwhile. */
    @Test
    void aRackFailureMakesNothingSuspect() {
        first.onNodeLost(HARMLESS, node("x"));
        time.advance(Duration.ofSeconds(1));
        first.onNodeLost(HARMLESS, node("y"), true);
        assertThat(first.verdict(HARMLESS)).isEqualTo(Verdict.REFUSED);
        time.advance(Duration.ofSeconds(1));
        first.onNodeLost(HARMLESS, node("z"), true);
        assertThat(first.verdict(HARMLESS)).isEqualTo(Verdict.FREE);
        first.onNodeFailed(node("x"));
        assertThat(first.verdict(HARMLESS)).isEqualTo(Verdict.FREE);
    }

    @Test
    void anOperatorCanSeeAndReleaseARequest() {
        first.onTargetCrashed(List.of(CRASHER));
        first.onStarted(CRASHER);
        first.onTargetCrashed(List.of(CRASHER));
        assertThat(first.snapshot()).singleElement().satisfies(request -> {
            assertThat(request.verdict()).isEqualTo(Verdict.REFUSED);
            assertThat(request.crashes()).isEqualTo(2);
            assertThat(request.fingerprint().label()).isEqualTo("GET /holdings/bad");
        });
        assertThat(first.release(CRASHER.toString())).isTrue();
        assertThat(first.verdict(CRASHER)).isEqualTo(Verdict.FREE);
        assertThat(first.release("no such")).isFalse();
    }

    @Test
    void theTableIsBoundedAndKeepsConvictions() {
        first.onTargetCrashed(List.of(CRASHER));
        first.onStarted(CRASHER);
        first.onTargetCrashed(List.of(CRASHER));
        for (int i = 0; i < 3000; i++) {
            first.onTargetCrashed(List.of(request("GET", "/holdings/" + i)));
        }
        assertThat(first.export().getEntriesCount())
                .isEqualTo(QuarantineSettings.defaults().maxEntries());
        assertThat(first.verdict(CRASHER)).isEqualTo(Verdict.REFUSED);
        time.advance(Duration.ofMinutes(17));
        assertThat(first.export().getEntriesCount()).isZero();
        first.expire();
        assertThat(first.takeChanges().getEntriesCount()).isZero();
    }

    /** Guards against changes that are never spread: the first change after each take is reported, from any source. */
    @Test
    void reportsTheFirstChangeAfterEachTake() {
        AtomicInteger notifications = new AtomicInteger();
        first.onFirstChange(notifications::incrementAndGet);
        first.onTargetCrashed(List.of(CRASHER, HARMLESS));
        assertThat(notifications).hasValue(1);
        first.takeChanges();
        assertThat(notifications).hasValue(1);
        second.onTargetCrashed(List.of(CRASHER));
        first.merge(second.takeChanges());
        assertThat(notifications).hasValue(2);
        assertThat(first.takeChanges().getEntriesCount()).isPositive();
    }

    /** Deltas of suspects share a limit of 3 KB/s per node with all other control traffic. */
    @Test
    void aSuspectCostsFewBytes() {
        first.onTargetCrashed(List.of(request("GET", "/holdings/isbn-9789038926512")));
        int bytes = first.takeChanges().getSerializedSize();
        System.out.println("measured: one suspect takes " + bytes + " bytes on the wire");
        assertThat(bytes).isLessThan(100);
    }
}

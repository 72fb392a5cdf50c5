package io.beryldock.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.quarantine.Fingerprint;
import io.beryldock.quarantine.LostRun;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.quarantine.Verdict;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class TargetCrashDetectorTest {

    private static final Duration LONGEST_DECISION = Duration.ofMillis(1100);

    private final ManualTimerService time = ManualTimerService.create();
    private final Quarantine quarantine = TargetFixtures.quarantine(time);
    private final AnnouncedTarget target = TargetFixtures.target(time);
    private CompletableFuture<TargetProcessState> state = new CompletableFuture<>();
    private final TargetProcess process = lostAtNanos -> state;
    private final CompletableFuture<Void> notified = new CompletableFuture<>();
    private final TargetCrashDetector detector = TargetCrashDetector.create(
            address -> process, quarantine, (service, delta) -> notified, time, EventSink.none());

    private static Fingerprint request(String path) {
        return Fingerprint.of(TargetFixtures.read(path, LONGEST_DECISION));
    }

    private CompletableFuture<TargetProcessState> lose(String path) {
        return lose(path, false);
    }

    private CompletableFuture<TargetProcessState> lose(String path, boolean suspect) {
        return detector.onLost(target, detector.processOf(TargetFixtures.ADDRESS), new LostRun(request(path), suspect));
    }

    /** Guards against a caller who retries before the crash is known: the next node must learn of the crash first. */
    @Test
    void theNodesOfTheServiceAreNotifiedOfACrashFirst() {
        CompletableFuture<TargetProcessState> decided = lose("/lists/poison");
        state.complete(TargetProcessState.ENDED);
        time.advance(Duration.ofMillis(30));
        assertThat(verdict("/lists/poison")).isEqualTo(Verdict.ALONE);
        assertThat(decided).isNotDone();
        notified.complete(null);
        assertThat(decided).isCompletedWithValue(TargetProcessState.ENDED);
    }

    /** Guards against a caller who waits forever: a node may never acknowledge the notification. */
    @Test
    void theWaitForNotificationsIsBounded() {
        CompletableFuture<TargetProcessState> decided = lose("/lists/poison");
        state.complete(TargetProcessState.ENDED);
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompletedWithValue(TargetProcessState.ENDED);
    }

    private Verdict verdict(String path) {
        return quarantine.verdict(request(path));
    }

    @Test
    void requestsInFlightAtTheEndOfAProcessAreSuspects() {
        CompletableFuture<TargetProcessState> decided = lose("/lists/poison");
        lose("/lists/1");
        state.complete(TargetProcessState.ENDED);
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
        assertThat(verdict("/lists/poison")).isEqualTo(Verdict.ALONE);
        assertThat(verdict("/lists/1")).isEqualTo(Verdict.ALONE);
    }

    @Test
    void aLostConnectionMakesNoSuspect() {
        CompletableFuture<TargetProcessState> decided = lose("/lists/1");
        state.complete(TargetProcessState.GOES_ON);
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
        assertThat(verdict("/lists/1")).isEqualTo(Verdict.FREE);
    }

    /** Guards against a caller who waits forever: a target may neither accept nor refuse a connection. */
    @Test
    void aProcessCheckWithoutEndIsDecidedInTime() {
        CompletableFuture<TargetProcessState> decided = lose("/lists/poison");
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
        assertThat(verdict("/lists/poison")).isEqualTo(Verdict.ALONE);
        state.complete(TargetProcessState.ENDED);
        assertThat(quarantine.snapshot())
                .singleElement()
                .satisfies(request -> assertThat(request.crashes()).isEqualTo(1));
    }

    /** Guards against a caller who waits forever: the process check itself may fail. */
    @Test
    void aProcessCheckThatFailsIsDecided() {
        CompletableFuture<TargetProcessState> decided = lose("/lists/1");
        state.completeExceptionally(new IllegalStateException("process check failed"));
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
    }

    /** Guards against a refused start page: a loss that is noticed late is not the loss of the suspect's run. */
    @Test
    void aLossThatIsNoticedLateConvictsNoRequest() {
        state = CompletableFuture.completedFuture(TargetProcessState.ENDED);
        lose("/lists/start");
        time.advance(LONGEST_DECISION);
        assertThat(quarantine.start(request("/lists/start"), false)).isEqualTo(Verdict.ALONE);
        lose("/lists/start");
        time.advance(LONGEST_DECISION);
        assertThat(verdict("/lists/start")).isEqualTo(Verdict.ALONE);
        quarantine.onCompleted(request("/lists/start"));
        assertThat(verdict("/lists/start")).isEqualTo(Verdict.FREE);
    }

    /** Guards against a lasting verdict: an unconfirmed crash must not refuse or delay a request for long. */
    @Test
    void anUnconfirmedEndExpiresSoon() {
        CompletableFuture<TargetProcessState> decided = lose("/lists/1");
        state.complete(TargetProcessState.UNKNOWN);
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
        assertThat(verdict("/lists/1")).isEqualTo(Verdict.ALONE);
        time.advance(Duration.ofSeconds(30));
        assertThat(verdict("/lists/1")).isEqualTo(Verdict.FREE);
    }

    /** Guards against a request that is never refused because its target listens again before the process check. */
    @Test
    void theSecondProcessThatASuspectEndsConvictsIt() {
        for (int crash = 0; crash < 2; crash++) {
            Verdict verdict = quarantine.start(request("/lists/poison"), false);
            assertThat(verdict).isEqualTo(crash == 0 ? Verdict.FREE : Verdict.ALONE);
            state = CompletableFuture.completedFuture(TargetProcessState.ENDED);
            lose("/lists/poison", verdict == Verdict.ALONE);
            time.advance(LONGEST_DECISION);
        }
        assertThat(quarantine.onStarted(request("/lists/poison"))).isFalse();
        assertThat(verdict("/lists/poison")).isEqualTo(Verdict.REFUSED);
    }
}

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
    private CompletableFuture<LifeSign> sign = new CompletableFuture<>();
    private final TargetLife life = lostAtNanos -> sign;
    private final CompletableFuture<Void> told = new CompletableFuture<>();
    private final TargetCrashDetector detector =
            TargetCrashDetector.create(address -> life, quarantine, (service, news) -> told, time, EventSink.none());

    private static Fingerprint request(String path) {
        return Fingerprint.of(TargetFixtures.read(path, LONGEST_DECISION));
    }

    private CompletableFuture<LifeSign> lose(String path) {
        return lose(path, false);
    }

    private CompletableFuture<LifeSign> lose(String path, boolean suspect) {
        return detector.onLost(target, detector.lifeOf(TargetFixtures.ADDRESS), new LostRun(request(path), suspect));
    }

    /** Guards against a caller who is faster than the news: his next node must know of the crash before he does. */
    @Test
    void aCrashIsToldToTheNodesOfTheServiceFirst() {
        CompletableFuture<LifeSign> decided = lose("/lists/poison");
        sign.complete(LifeSign.ENDED);
        time.advance(Duration.ofMillis(30));
        assertThat(verdict("/lists/poison")).isEqualTo(Verdict.ALONE);
        assertThat(decided).isNotDone();
        told.complete(null);
        assertThat(decided).isCompletedWithValue(LifeSign.ENDED);
    }

    /** Guards against a caller who waits for ever: a node may never take the news. */
    @Test
    void newsThatNobodyTakesAreWaitedForInTime() {
        CompletableFuture<LifeSign> decided = lose("/lists/poison");
        sign.complete(LifeSign.ENDED);
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompletedWithValue(LifeSign.ENDED);
    }

    private Verdict verdict(String path) {
        return quarantine.verdict(request(path));
    }

    @Test
    void requestsInFlightAtTheEndOfALifeAreSuspects() {
        CompletableFuture<LifeSign> decided = lose("/lists/poison");
        lose("/lists/1");
        sign.complete(LifeSign.ENDED);
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
        assertThat(verdict("/lists/poison")).isEqualTo(Verdict.ALONE);
        assertThat(verdict("/lists/1")).isEqualTo(Verdict.ALONE);
    }

    @Test
    void aLostConnectionMakesNoSuspect() {
        CompletableFuture<LifeSign> decided = lose("/lists/1");
        sign.complete(LifeSign.GOES_ON);
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
        assertThat(verdict("/lists/1")).isEqualTo(Verdict.FREE);
    }

    /** Guards against a caller who waits for ever: a target may neither accept nor refuse a connection. */
    @Test
    void aLookWithoutEndIsDecidedInTime() {
        CompletableFuture<LifeSign> decided = lose("/lists/poison");
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
        assertThat(verdict("/lists/poison")).isEqualTo(Verdict.ALONE);
        sign.complete(LifeSign.ENDED);
        assertThat(quarantine.snapshot())
                .singleElement()
                .satisfies(request -> assertThat(request.crashes()).isEqualTo(1));
    }

    /** Guards against a caller who waits for ever: the look itself may fail. */
    @Test
    void aLookThatFailsIsDecided() {
        CompletableFuture<LifeSign> decided = lose("/lists/1");
        sign.completeExceptionally(new IllegalStateException("no look"));
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
    }

    /** Guards against a refused start page: a loss that is noticed late is not that of the run which tries it out. */
    @Test
    void aLossThatIsNoticedLateConvictsNobody() {
        sign = CompletableFuture.completedFuture(LifeSign.ENDED);
        lose("/lists/start");
        time.advance(LONGEST_DECISION);
        assertThat(quarantine.start(request("/lists/start"), false)).isEqualTo(Verdict.ALONE);
        lose("/lists/start");
        time.advance(LONGEST_DECISION);
        assertThat(verdict("/lists/start")).isEqualTo(Verdict.ALONE);
        quarantine.onCompleted(request("/lists/start"));
        assertThat(verdict("/lists/start")).isEqualTo(Verdict.FREE);
    }

    /** Guards against a verdict that stays: what is not confirmed must not refuse or slow a request for long. */
    @Test
    void aDoubtfulEndIsForgottenSoon() {
        CompletableFuture<LifeSign> decided = lose("/lists/1");
        sign.complete(LifeSign.UNKNOWN);
        time.advance(LONGEST_DECISION);
        assertThat(decided).isCompleted();
        assertThat(verdict("/lists/1")).isEqualTo(Verdict.ALONE);
        time.advance(Duration.ofSeconds(30));
        assertThat(verdict("/lists/1")).isEqualTo(Verdict.FREE);
    }

    /** Guards against a request that is never refused as its target listens again before anybody looks. */
    @Test
    void theSecondLifeThatASuspectEndsConvictsIt() {
        for (int crash = 0; crash < 2; crash++) {
            Verdict verdict = quarantine.start(request("/lists/poison"), false);
            assertThat(verdict).isEqualTo(crash == 0 ? Verdict.FREE : Verdict.ALONE);
            sign = CompletableFuture.completedFuture(LifeSign.ENDED);
            lose("/lists/poison", verdict == Verdict.ALONE);
            time.advance(LONGEST_DECISION);
        }
        assertThat(quarantine.onStarted(request("/lists/poison"))).isFalse();
        assertThat(verdict("/lists/poison")).isEqualTo(Verdict.REFUSED);
    }
}

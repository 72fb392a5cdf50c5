package io.beryldock.waiting;

import io.beryldock.call.ServiceName;
import io.beryldock.credit.Claimant;
import io.beryldock.credit.TreeKey;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.waiting.EntryAdmission.Pending;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;

/** An entry on simulated time with credits from one pool, and callers that send requests, wait and retry. */
final class EntryFixture {

    /** A kind of request: rank, usual time, objective and time limit, in milliseconds. */
    record Kind(TreeKey tree, int rank, long usual, long objective, long limit) {

        static Kind of(String route, int rank, long usual, long objective, long limit) {
            return new Kind(new TreeKey(route, ServiceName.of(route)), rank, usual, objective, limit);
        }
    }

    static final Kind LOOKUP = Kind.of("lookup", 1, 100, 400, 1_500);
    static final Kind ORDER = Kind.of("order", 0, 250, 4_000, 5_000);
    static final Kind BROWSE = Kind.of("browse", 3, 250, 2_000, 5_000);

    final ManualTimerService timers = ManualTimerService.create();
    final FakeCredits credits = new FakeCredits();
    final EntryWaiting entry;
    private final Random random;
    private int callerCount;

    private EntryFixture(long seed, WaitingSettings settings, WaitingOrder order) {
        random = new Random(seed);
        credits.usual(LOOKUP.tree(), LOOKUP.usual());
        credits.usual(ORDER.tree(), ORDER.usual());
        credits.usual(BROWSE.tree(), BROWSE.usual());
        WaitingPorts ports = WaitingPorts.of(settings, credits, random, EventSink.none());
        entry = EntryWaiting.withOrder(ports, timers, order);
    }

    static EntryFixture create() {
        return of(WaitingSettings.defaults());
    }

    static EntryFixture of(WaitingSettings settings) {
        return new EntryFixture(1, settings, WaitingOrder.fair());
    }

    static EntryFixture ordered(long seed, WaitingOrder order) {
        return new EntryFixture(seed, WaitingSettings.defaults(), order);
    }

    void advance(long millis) {
        timers.advance(Duration.ofMillis(millis));
    }

    long nowMillis() {
        return Duration.ofNanos(timers.ticker().nanos()).toMillis();
    }

    TestCaller ask(Kind kind) {
        return new TestCaller(kind, Optional.empty());
    }

    TestCaller ask(Kind kind, String organisation) {
        return new TestCaller(kind, Optional.of(OrganisationName.of(organisation)));
    }

    /**
     * Starts callers of a kind at random times with this mean rate until the condition becomes false; each is added to
     * the list.
     */
    void load(Kind kind, double perSecond, BooleanSupplier active, Behaviour behaviour, List<TestCaller> all) {
        Runnable next = new Runnable() {
            @Override
            public void run() {
                if (active.getAsBoolean()) {
                    TestCaller caller = behaviour.ask(kind);
                    all.add(caller);
                    timers.after(Duration.ofNanos((long) (random.nextExponential() * 1e9 / perSecond)), this);
                }
            }
        };
        next.run();
    }

    /** Behaviour of a caller. */
    @FunctionalInterface
    interface Behaviour {
        TestCaller ask(Kind kind);
    }

    /**
     * Sends a request and, if it is refused, retries once at the time that the caller was told, with the rest of its
     * time.
     */
    TestCaller askAndRetry(Kind kind) {
        return retryingOnce(ask(kind));
    }

    TestCaller askAndRetry(Kind kind, String organisation) {
        return retryingOnce(ask(kind, organisation));
    }

    private TestCaller retryingOnce(TestCaller caller) {
        caller.onRefusal(retryAfter -> timers.after(Duration.ofMillis(retryAfter), () -> {
            caller.refusalListener = later -> {};
            caller.retry();
        }));
        return caller;
    }

    /**
     * Retries 20 ms after each refusal, regardless of the time that the caller was told, until the time of the request
     * is over.
     */
    TestCaller askAndRetryRepeatedly(Kind kind) {
        TestCaller caller = ask(kind);
        caller.onRefusal(retryAfter -> retrySoon(caller));
        return caller;
    }

    private void retrySoon(TestCaller caller) {
        timers.after(Duration.ofMillis(20), () -> {
            if (caller.age() < caller.kind.limit() - caller.kind.usual()) {
                caller.retry();
            }
        });
    }

    static List<TestCaller> served(List<TestCaller> all) {
        return all.stream().filter(TestCaller::covered).toList();
    }

    static double servedShare(List<TestCaller> all) {
        return (double) served(all).size() / all.size();
    }

    /** Receives a refusal. */
    @FunctionalInterface
    interface RefusalListener {
        void refused(long retryAfterMillis);
    }

    /** A caller with all its attempts. */
    final class TestCaller {
        final Kind kind;
        final Optional<OrganisationName> organisation;
        final long arrivedAt = nowMillis();
        Pending pending;
        EntryDecision decision;
        long decidedAt;
        int attempts;
        int decisions;
        int order;
        private RefusalListener refusalListener = retryAfter -> {};

        private TestCaller(Kind kind, Optional<OrganisationName> organisation) {
            this.kind = kind;
            this.organisation = organisation;
            this.order = callerCount++;
            send(false);
        }

        void retry() {
            decision = null;
            send(true);
        }

        private void send(boolean returned) {
            attempts++;
            long age = age();
            pending = entry.admit(new WaitingRequest(
                    kind.tree(),
                    new Claimant(kind.rank(), organisation),
                    returned,
                    Duration.ofMillis(kind.objective() - age).toNanos(),
                    Duration.ofMillis(kind.limit() - age).toNanos(),
                    1_000));
            pending.decision().thenAccept(this::decided);
        }

        private void decided(EntryDecision newDecision) {
            decision = newDecision;
            decisions++;
            decidedAt = nowMillis();
            if (refused()) {
                refusalListener.refused(newDecision.retryAfterMillis());
            }
        }

        /** Sets the listener, which is also notified of a refusal that has arrived already. */
        void onRefusal(RefusalListener listener) {
            refusalListener = listener;
            if (refused()) {
                refusalListener.refused(decision.retryAfterMillis());
            }
        }

        long age() {
            return nowMillis() - arrivedAt;
        }

        boolean isWaiting() {
            return decision == null;
        }

        boolean covered() {
            return decision != null && decision.kind() == EntryDecision.Kind.COVERED;
        }

        boolean refused() {
            return decision != null && decision.kind() == EntryDecision.Kind.REFUSED;
        }

        boolean refusedAtOnce() {
            return refused() && decidedAt == arrivedAt;
        }

        /** Whether a call tree that takes this multiple of its usual time ends within the objective. */
        boolean meetsObjective(double timeFactor) {
            return covered() && decidedAt - arrivedAt + timeFactor * kind.usual() <= kind.objective();
        }
    }
}

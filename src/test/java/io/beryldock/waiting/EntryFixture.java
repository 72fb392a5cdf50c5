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

/** An entry on injected time with credits from a pool, and callers that ask, wait and come back. */
final class EntryFixture {

    /** Requests of a kind: rank, usual time, objective and time limit, in milliseconds. */
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
    private int asked;

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

    void pass(long millis) {
        timers.advance(Duration.ofMillis(millis));
    }

    long nowMillis() {
        return Duration.ofNanos(timers.ticker().nanos()).toMillis();
    }

    Asked ask(Kind kind) {
        return new Asked(kind, Optional.empty());
    }

    Asked ask(Kind kind, String organisation) {
        return new Asked(kind, Optional.of(OrganisationName.of(organisation)));
    }

    /** Callers of a kind that come at a rate until the condition ends, spread at random; all are added to the list. */
    void load(Kind kind, double perSecond, BooleanSupplier goesOn, Behaviour behaviour, List<Asked> all) {
        Runnable next = new Runnable() {
            @Override
            public void run() {
                if (goesOn.getAsBoolean()) {
                    Asked asked = behaviour.ask(kind);
                    all.add(asked);
                    timers.after(Duration.ofNanos((long) (random.nextExponential() * 1e9 / perSecond)), this);
                }
            }
        };
        next.run();
    }

    /** How a caller asks. */
    @FunctionalInterface
    interface Behaviour {
        Asked ask(Kind kind);
    }

    /** Asks once and comes back once at the time that it is told, with what is left of its time. */
    Asked askAndReturn(Kind kind) {
        return returning(ask(kind));
    }

    Asked askAndReturn(Kind kind, String organisation) {
        return returning(ask(kind, organisation));
    }

    private Asked returning(Asked asked) {
        asked.onRefusal(told -> timers.after(Duration.ofMillis(told), () -> {
            asked.refused = later -> {};
            asked.askAgain();
        }));
        return asked;
    }

    /** Asks again 20 ms after each refusal, whatever it is told, until its time is over. */
    Asked askAtOnceAndOften(Kind kind) {
        Asked asked = ask(kind);
        asked.onRefusal(told -> askSoon(asked));
        return asked;
    }

    private void askSoon(Asked asked) {
        timers.after(Duration.ofMillis(20), () -> {
            if (asked.age() < asked.kind.limit() - asked.kind.usual()) {
                asked.askAgain();
            }
        });
    }

    static List<Asked> served(List<Asked> all) {
        return all.stream().filter(Asked::covered).toList();
    }

    static double servedShare(List<Asked> all) {
        return (double) served(all).size() / all.size();
    }

    /** What is heard of a refusal. */
    @FunctionalInterface
    interface Refused {
        void toldMillis(long retryAfterMillis);
    }

    /** One caller with all its attempts. */
    final class Asked {
        final Kind kind;
        final Optional<OrganisationName> organisation;
        final long arrivedAt = nowMillis();
        Pending pending;
        EntryDecision decision;
        long decidedAt;
        int attempts;
        int decisions;
        int order;
        private Refused refused = told -> {};

        private Asked(Kind kind, Optional<OrganisationName> organisation) {
            this.kind = kind;
            this.organisation = organisation;
            this.order = asked++;
            send(false);
        }

        void askAgain() {
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

        private void decided(EntryDecision made) {
            decision = made;
            decisions++;
            decidedAt = nowMillis();
            if (refused()) {
                refused.toldMillis(made.retryAfterMillis());
            }
        }

        /** Also told of a refusal that came already. */
        void onRefusal(Refused listener) {
            refused = listener;
            if (refused()) {
                refused.toldMillis(decision.retryAfterMillis());
            }
        }

        long age() {
            return nowMillis() - arrivedAt;
        }

        boolean waits() {
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

        /** Whether a tree that takes this much of its usual time ends within the objective. */
        boolean meetsObjective(double timeFactor) {
            return covered() && decidedAt - arrivedAt + timeFactor * kind.usual() <= kind.objective();
        }
    }
}

package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import io.beryldock.soak.FaultAction.Link;
import io.beryldock.soak.Surroundings.StoreState;
import io.beryldock.time.Ticker;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Brings the faults of a plan about, and ends them, each at its time.
 *
 * <p>Used by one thread, which it holds until the plan's end. A fault whose node is down at the time does nothing.
 */
final class FaultExecutor {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ImmutableList<SoakPlace> places;
    private final Surroundings surroundings;
    private final Operators operators;
    private final SoakLedger ledger;
    private final Ticker ticker;

    FaultExecutor(
            ImmutableList<SoakPlace> places,
            Surroundings surroundings,
            Operators operators,
            SoakLedger ledger,
            Ticker ticker) {
        this.places = places;
        this.surroundings = surroundings;
        this.operators = operators;
        this.ledger = ledger;
        this.ticker = ticker;
    }

    /** One end of a fault. */
    private record Step(Duration at, PlannedFault fault, boolean begins) {}

    /** Runs the plan; returns when its last fault has ended and no sooner than the length. */
    void run(ImmutableList<PlannedFault> plan, Duration length) throws IOException, InterruptedException {
        long start = ticker.nanos();
        for (Step step : steps(plan)) {
            waitUntil(start + step.at().toNanos());
            log.atInfo().log("%s: %s", step.begins() ? "begins" : "ends", step.fault());
            if (step.begins()) {
                begin(step.fault());
            } else {
                end(step.fault());
            }
        }
        waitUntil(start + length.toNanos());
    }

    private static List<Step> steps(ImmutableList<PlannedFault> plan) {
        List<Step> steps = new ArrayList<>();
        for (PlannedFault fault : plan) {
            steps.add(new Step(fault.at(), fault, true));
            steps.add(new Step(fault.end(), fault, false));
        }
        steps.sort(Comparator.comparing(Step::at));
        return steps;
    }

    private void waitUntil(long nanos) throws InterruptedException {
        long left = nanos - ticker.nanos();
        if (left > 0) {
            TimeUnit.MILLISECONDS.sleep(left / NANOS_PER_MILLI);
        }
    }

    private void begin(PlannedFault fault) throws IOException, InterruptedException {
        if (fault.action().isUnplanned()) {
            ImmutableSet<Integer> harmed = harmedNodes(fault);
            ledger.add(at -> new SoakEvent.FaultBegan(at, harmed));
        }
        SoakPlace place = places.get(fault.node());
        switch (fault.action()) {
            case PAUSED -> place.node().pause();
            case KILLED -> place.node().kill();
            case ALL_KILLED -> killAll();
            case STOPPED_AS_PLANNED -> stop(place);
            default -> beginAround(place, fault.action());
        }
    }

    private ImmutableSet<Integer> harmedNodes(PlannedFault fault) {
        if (fault.action().harmsAll()) {
            return places.stream().map(SoakPlace::number).collect(ImmutableSet.toImmutableSet());
        }
        return fault.action().harmsTargetsOnly()
                ? ImmutableSet.of()
                : ImmutableSet.of(places.get(fault.node()).number());
    }

    /** What harms no process of a node. */
    private void beginAround(SoakPlace place, FaultAction action) {
        switch (action) {
            case STORE_SILENT_FOR_ALL -> places.forEach(each -> each.set(Link.STORE, LinkState.SILENT));
            case STORE_REFUSING, STORE_RESTORED -> surroundings.setStore(StoreState.REFUSING);
            case STORE_ANSWERS_LOST -> surroundings.setStore(StoreState.ANSWERS_LOST);
            case STORE_LEASES_LAPSED -> surroundings.lapseLeases();
            case STORE_HISTORY_FORGOTTEN -> surroundings.forgetHistory();
            case STORE_CHANGES_WITHHELD -> surroundings.setChangesWithheld(true);
            case STORE_WRITES_LATE -> surroundings.setWritesLate(true);
            case TARGET_LEAVES -> surroundings.leave(place.place(), place.announced());
            case DOCUMENT_WRITTEN -> operators.write();
            case KEY_REMOVED -> operators.changeKeys();
            case RESPONSES_REPEATED, RESPONSES_BROKEN, RESPONSES_ENDLESS -> setResponseFault(action, true);
            default -> place.set(action.link(), action.state());
        }
    }

    private void end(PlannedFault fault) throws IOException, InterruptedException {
        SoakPlace place = places.get(fault.node());
        switch (fault.action()) {
            case PAUSED -> place.node().resume();
            case KILLED -> start(place);
            case ALL_KILLED -> startAll();
            default -> endAround(place, fault.action());
        }
        if (fault.action().isUnplanned()) {
            ImmutableSet<Integer> harmed = harmedNodes(fault);
            ledger.add(at -> new SoakEvent.FaultEnded(at, harmed));
        }
    }

    /** Ends what harmed no process of a node. */
    private void endAround(SoakPlace place, FaultAction action) {
        switch (action) {
            case STORE_SILENT_FOR_ALL -> places.forEach(each -> each.heal(Link.STORE, LinkState.SILENT));
            case STORE_REFUSING, STORE_ANSWERS_LOST -> surroundings.setStore(StoreState.SOUND);
            case STORE_RESTORED -> {
                surroundings.restoreStore();
                surroundings.setStore(StoreState.SOUND);
            }
            case STORE_CHANGES_WITHHELD -> surroundings.setChangesWithheld(false);
            case STORE_WRITES_LATE -> surroundings.setWritesLate(false);
            case TARGET_LEAVES -> surroundings.startAnew(place.place());
            case STORE_LEASES_LAPSED, STORE_HISTORY_FORGOTTEN -> {}
            case RESPONSES_REPEATED, RESPONSES_BROKEN, RESPONSES_ENDLESS -> setResponseFault(action, false);
            case STOPPED_AS_PLANNED, DOCUMENT_WRITTEN, KEY_REMOVED -> {}
            default -> place.heal(action.link(), action.state());
        }
    }

    private void setResponseFault(FaultAction action, boolean active) {
        surroundings.setResponseFault(action.responseFault().orElseThrow(), active);
    }

    private void stop(SoakPlace place) {
        if (!place.node().isRunning()) {
            return;
        }
        ledger.add(at -> new SoakEvent.StopAsked(at, place.number()));
        var unused = place.node().stop().thenAccept(ended -> {
            ledger.add(at -> new SoakEvent.StopEnded(at, place.number()));
            try {
                start(place);
            } catch (IOException e) {
                log.atSevere().withCause(e).log("node %d could not be started after its stop", place.number());
            }
        });
    }

    private void killAll() throws InterruptedException {
        for (SoakPlace place : places) {
            place.node().kill();
        }
    }

    private void startAll() throws IOException {
        for (SoakPlace place : places) {
            start(place);
        }
        ledger.add(SoakEvent.AllBack::new);
    }

    private void start(SoakPlace place) throws IOException {
        if (place.node().startIfDown()) {
            ledger.add(at -> new SoakEvent.Started(at, place.number()));
        }
    }
}

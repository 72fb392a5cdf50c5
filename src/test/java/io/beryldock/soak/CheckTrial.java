package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.soak.SoakEvent.Ending;
import io.beryldock.soak.SoakEvent.Reply;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Shows events to one check, at times of its own, and keeps what it finds broken. Not thread safe. */
final class CheckTrial {

    static final String KEY = "key";
    static final int ENTRY = 0;
    static final int RUNNER = 1;

    private static final ImmutableSet<Integer> BOTH = ImmutableSet.of(ENTRY, RUNNER);

    private final PromiseCheck check;
    private final List<String> broken = new ArrayList<>();
    private long now;

    private CheckTrial(PromiseCheck check) {
        this.check = check;
    }

    static CheckTrial of(PromiseCheck check) {
        return new CheckTrial(check);
    }

    CheckTrial after(Duration time) {
        now += time.toNanos();
        return this;
    }

    CheckTrial order(String id) {
        return send(new CallerRequest(id, Use.ORDER, 0, KEY, "body of " + id));
    }

    CheckTrial part(String id) {
        return send(CallerRequest.part(id));
    }

    CheckTrial probe(String id, long version) {
        return send(CallerRequest.probe(id, version));
    }

    CheckTrial send(CallerRequest request) {
        return see(new SoakEvent.Sent(now, ENTRY, request));
    }

    CheckTrial part(String parent, String suffix) {
        return see(new SoakEvent.Sent(now, RUNNER, CallerRequest.part(parent, suffix)));
    }

    CheckTrial arrived(String id) {
        return see(new SoakEvent.Arrived(now, RUNNER, id, "back"));
    }

    CheckTrial ran(String id) {
        return see(new SoakEvent.Ran(now, RUNNER, id, "back", "body of " + id));
    }

    CheckTrial named(String id, double ratePerSecond, boolean leaving) {
        return see(new SoakEvent.Named(now, RUNNER, id, ratePerSecond, leaving));
    }

    CheckTrial targetStarted() {
        return see(new SoakEvent.TargetStarted(now, RUNNER));
    }

    CheckTrial departureConfirmed() {
        return see(new SoakEvent.DepartureConfirmed(now, RUNNER));
    }

    CheckTrial answered(String id, int status) {
        Reply reply = new Reply(status, id, true, Payload.answer(id, "body of " + id));
        return see(new SoakEvent.Ended(now, id, Ending.ANSWERED, reply));
    }

    CheckTrial lost(String id) {
        return see(new SoakEvent.Ended(now, id, Ending.LOST, Reply.none()));
    }

    CheckTrial answered(String id, Reply reply) {
        return see(new SoakEvent.Ended(now, id, Ending.ANSWERED, reply));
    }

    CheckTrial written(long version) {
        return see(new SoakEvent.DocumentWritten(now, version));
    }

    CheckTrial keyRemoved() {
        return see(new SoakEvent.KeyRemoved(now, KEY));
    }

    CheckTrial started() {
        return see(new SoakEvent.Started(now, ENTRY));
    }

    CheckTrial stopAsked(int node) {
        return see(new SoakEvent.StopAsked(now, node));
    }

    CheckTrial stopEnded(int node) {
        return see(new SoakEvent.StopEnded(now, node));
    }

    CheckTrial heldUp() {
        return see(new SoakEvent.HeldUp(now, BOTH));
    }

    CheckTrial faultBegan() {
        return see(new SoakEvent.FaultBegan(now, BOTH));
    }

    CheckTrial faultBegan(int node) {
        return see(new SoakEvent.FaultBegan(now, ImmutableSet.of(node)));
    }

    CheckTrial faultEnded() {
        return see(new SoakEvent.FaultEnded(now, BOTH));
    }

    CheckTrial faultEnded(int node) {
        return see(new SoakEvent.FaultEnded(now, ImmutableSet.of(node)));
    }

    CheckTrial allBack() {
        return see(new SoakEvent.AllBack(now));
    }

    CheckTrial runEnded() {
        return see(new SoakEvent.RunEnded(now));
    }

    CheckTrial endlessBegan(long response) {
        return see(new SoakEvent.EndlessBegan(now, RUNNER, response, "a body"));
    }

    CheckTrial endlessEnded(long response, long bytes) {
        return see(new SoakEvent.EndlessEnded(now, RUNNER, response, "a body", bytes));
    }

    CheckTrial sampled(long kilobytes, int files) {
        return see(new SoakEvent.Sampled(now, ENTRY, kilobytes, files));
    }

    private CheckTrial see(SoakEvent event) {
        check.on(event, broken::add);
        return this;
    }

    ImmutableList<String> broken() {
        return ImmutableList.copyOf(broken);
    }
}

package io.beryldock.standin;

import com.google.common.collect.ImmutableList;
import io.beryldock.forwarding.ContextHeader;
import io.beryldock.standin.InnerCaller.InnerAnswer;
import io.beryldock.standin.StandinTargetSettings.InnerCall;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One request on its way through a target: it waits for a slot, works, makes its inner calls and answers.
 *
 * <p>Thread safe by one lock; nothing is sent or answered within it. Invariants: a run gives its slot back at most
 * once; a
 * run that was refused never worked; a run answers at most once.
 */
final class TargetRun {

    private static final String ECHO = "echo";
    private static final String KEY_HEADER = "Idempotency-Key";

    private final TargetLife life;
    private final HttpExchange exchange;
    private final long arrival;
    private final String path;
    private final String echo;
    private final ImmutableList<InnerCall> innerCalls;
    private final Runnable task = this::begin;
    private final List<InnerAnswer> innerAnswers = new ArrayList<>();
    private State state = State.WAITING;
    private RunRecord record;
    private long slotTaken;
    private TimerService.Subscription work = () -> {};
    private InnerCaller.Pending pending;

    private enum State {
        WAITING,
        RUNNING,
        HANGING,
        ENDED
    }

    TargetRun(TargetLife life, HttpExchange exchange) {
        this.life = life;
        this.exchange = exchange;
        this.arrival = life.now();
        this.path = exchange.path();
        this.echo = exchange.query(ECHO).orElse("");
        this.innerCalls = life.innerCallsOf(exchange.method(), path);
    }

    /** What to do once there is a slot. */
    Runnable task() {
        return task;
    }

    /** Begins to run; ends at once when the caller is gone or its time is over. */
    private void begin() {
        boolean tooLate = life.settings().acceptsDeadlines() && remainingNanos() <= 0;
        synchronized (this) {
            if (state == State.ENDED || tooLate) {
                state = State.ENDED;
            } else {
                state = State.RUNNING;
                slotTaken = life.now();
            }
        }
        if (isEnded()) {
            TargetAnswers.refuse(exchange, "its time is over");
            life.giveBack(this);
            return;
        }
        run();
    }

    private long remainingNanos() {
        return exchange.header(ContextHeader.NAME)
                .flatMap(ContextHeader::parse)
                .map(header -> TimeUnit.MILLISECONDS.toNanos(header.remainingMillis()) - (life.now() - arrival))
                .orElse(Long.MAX_VALUE);
    }

    private void run() {
        String context = exchange.header(ContextHeader.NAME).orElse("");
        String key = exchange.header(KEY_HEADER).orElse("");
        RunRecord begun = life.log().begin(exchange.method(), path, echo, key, context);
        Duration time = life.nextServiceTime();
        synchronized (this) {
            record = begun;
            if (state == State.RUNNING && life.faults().hang()) {
                state = State.HANGING;
                return;
            }
            work = life.timers().after(time, this::callNext);
        }
    }

    /** Makes the next inner call, or answers when all are done or one failed. */
    private void callNext() {
        if (isEnded()) {
            return;
        }
        int next = innerAnswers().size();
        boolean failed = innerAnswers().stream().anyMatch(answer -> !answer.isGood());
        if (failed || next == innerCalls.size()) {
            finish();
            return;
        }
        InnerCall call = innerCalls.get(next);
        String target = call.path() + "?" + ECHO + "=" + echo + "." + next;
        InnerCaller.Pending sent = life.inner().send(call.method(), target, exchange.header(ContextHeader.NAME));
        synchronized (this) {
            pending = sent;
        }
        if (isEnded()) {
            sent.cancel();
        }
        var unused = sent.answer().thenAccept(this::innerAnswered);
    }

    private void innerAnswered(InnerAnswer answer) {
        synchronized (this) {
            innerAnswers.add(answer);
        }
        callNext();
    }

    private synchronized List<InnerAnswer> innerAnswers() {
        return List.copyOf(innerAnswers);
    }

    private void finish() {
        if (!end()) {
            return;
        }
        TargetFaults faults = life.faults();
        if (life.chance(faults.loseShare())) {
            exchange.cutOff();
        } else if (life.chance(faults.errorShare())) {
            TargetAnswers.error(exchange);
        } else if (life.chance(faults.bareErrorShare())) {
            TargetAnswers.bareError(exchange);
        } else {
            long nanos = life.now() - arrival;
            String service = life.settings().service();
            TargetAnswers.answer(exchange, service, record, innerCalls, innerAnswers(), nanos);
        }
        life.giveBack(this);
    }

    /** The caller hung up: ends the work and frees the slot, unless the target hangs or takes no cancellation. */
    void cancel() {
        boolean wasRunning;
        synchronized (this) {
            wasRunning = state == State.RUNNING;
            if (state == State.HANGING || (wasRunning && !life.settings().acceptsDeadlines())) {
                return;
            }
        }
        stop(wasRunning);
    }

    /** The target stopped hanging: frees the slot without an answer. */
    void unhang() {
        boolean wasHanging;
        synchronized (this) {
            wasHanging = state == State.HANGING;
        }
        if (wasHanging) {
            stop(true);
        }
    }

    private void stop(boolean hadSlot) {
        if (!end()) {
            return;
        }
        abandon();
        exchange.cutOff();
        if (hadSlot) {
            life.giveBack(this);
        } else {
            life.withdraw(this);
        }
    }

    /** Ends what the run has under way elsewhere, as the end of a process does. */
    void abandon() {
        Optional<InnerCaller.Pending> call;
        synchronized (this) {
            state = State.ENDED;
            work.cancel();
            call = Optional.ofNullable(pending);
        }
        call.ifPresent(InnerCaller.Pending::cancel);
    }

    /** Marks the end and notes the slot time; false when it has ended before. */
    private synchronized boolean end() {
        if (state == State.ENDED) {
            return false;
        }
        if (state != State.WAITING && record != null) {
            life.log().end(record, life.now() - slotTaken);
        }
        state = State.ENDED;
        return true;
    }

    private synchronized boolean isEnded() {
        return state == State.ENDED;
    }
}

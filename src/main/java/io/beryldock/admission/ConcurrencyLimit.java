package io.beryldock.admission;

/**
 * How many requests a target may run at once.
 *
 * <p>The strategy moves the limit once a window. Bounds: the announced slots and the settings' maximum. A new gate's
 * target counts as cold, or as busy with work that an earlier node gave it: the bound starts at the initial limit and
 * rises with the time that passed and with the requests that completed, whichever is less.
 *
 * <p>Invariant: never above the announced slots, never below 1. Guarded by the gate's lock.
 */
final class ConcurrencyLimit {

    private static final int MIN_WINDOW = 8;
    private static final int MAX_WINDOW = 200;
    private static final double RAMP_PER_COMPLETION = 0.5;

    private final ServiceTimes times;
    private GateSettings settings;
    private double limit;
    private double ramp;
    private long coldSince;
    private int peakInFlight;
    private int completed;
    private int refused;
    private int late;
    private int failed;
    private double sumNanos;

    ConcurrencyLimit(GateSettings settings, ServiceTimes times, long now) {
        this.settings = settings;
        this.times = times;
        limit = settings.startLimit();
        restart(now);
    }

    /** The target is cold from now on. */
    void restart(long now) {
        ramp = settings.initialLimit();
        coldSince = now;
    }

    void reconfigure(GateSettings changed) {
        boolean announced = changed.announcedSlots() != settings.announcedSlots();
        settings = changed;
        if (announced) {
            limit = settings.startLimit();
        }
    }

    int at(long now) {
        double bounded = Math.min(limit, Math.min(settings.bound(), rampAt(now)));
        return (int) Math.max(1, bounded);
    }

    void admitted(int inFlight) {
        peakInFlight = Math.max(peakInFlight, inFlight);
    }

    /** Takes a completion in; the service time counts only for work that ran to its end. */
    void completed(Completion completion, long serviceNanos, long now) {
        switch (completion) {
            case SUCCEEDED -> addCompleted(serviceNanos);
            case ABANDONED_DONE -> {
                addCompleted(serviceNanos);
                late++;
            }
            case REFUSED_BY_TARGET -> refused++;
            default -> failed++;
        }
        if (completed + refused + failed >= windowSize()) {
            closeWindow(now);
        }
    }

    private void addCompleted(long serviceNanos) {
        completed++;
        sumNanos += serviceNanos;
        ramp = Math.min(settings.bound(), ramp + RAMP_PER_COMPLETION);
    }

    private int windowSize() {
        return (int) Math.max(MIN_WINDOW, Math.min(MAX_WINDOW, 2 * limit));
    }

    private void closeWindow(long now) {
        double mean = completed == 0 ? 0 : sumNanos / completed;
        if (completed > 0) {
            times.addWindow(mean, now);
        }
        LimitWindow window = new LimitWindow(
                settings.announcedSlots() > 0,
                Math.min(limit, rampAt(now)),
                peakInFlight,
                completed,
                refused,
                late,
                mean,
                times.min(),
                times.longMean());
        limit = Math.max(
                settings.minLimit(),
                Math.min(settings.bound(), settings.strategy().next(window)));
        peakInFlight = 0;
        completed = 0;
        refused = 0;
        late = 0;
        failed = 0;
        sumNanos = 0;
    }

    private double rampAt(long now) {
        double share =
                Math.min(1, (double) (now - coldSince) / settings.rampTime().toNanos());
        double byTime = settings.initialLimit() + share * (settings.bound() - settings.initialLimit());
        return Math.min(ramp, byTime);
    }
}

package io.beryldock.admission;

/**
 * Concurrency limit of a target: the number of requests that it may run at once.
 *
 * <p>The strategy updates the limit at the end of each window of completions. The limit is bounded by the announced
 * slots and by the configured maximum. The target of a new gate is treated as cold, since it may be cold or may still
 * run requests that an earlier node admitted: the bound starts at the initial limit and rises with the elapsed time and
 * with the completed requests, whichever allows less.
 *
 * <p>Invariant: the limit is never above the announced slots and never below 1. Guarded by the gate's lock.
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

    /** Marks the target as cold, so that the ramp-up starts again. */
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

    /** Records a completion. The service time counts only for requests that ran to completion. */
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

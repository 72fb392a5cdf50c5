package io.beryldock.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of one target's gate.
 *
 * <p>Immutable.
 *
 * @param strategy finds the concurrency limit
 * @param minLimit the limit never falls below it
 * @param initialLimit where a new gate starts
 * @param maxLimit the limit never rises above it
 * @param announcedSlots what the target announced, a hard bound of the limit; 0 when it announced nothing
 * @param usableShare share of the announced slots that is used, for targets that slow down when nearly full
 * @param timesByKind whether kinds of requests are told apart, for targets whose kinds differ much in service time
 * @param queueCapacity requests that may wait
 * @param queueTarget wait allowed while the queue stands
 * @param queueInterval wait allowed in a burst, and the time after which a queue that never emptied stands
 * @param rampTime how long a cold target takes to be given all its slots
 * @param abandonedHold how long abandoned work keeps its slot when the target's answer never comes
 */
public record GateSettings(
        LimitStrategy strategy,
        int minLimit,
        int initialLimit,
        int maxLimit,
        int announcedSlots,
        double usableShare,
        boolean timesByKind,
        int queueCapacity,
        Duration queueTarget,
        Duration queueInterval,
        Duration rampTime,
        Duration abandonedHold) {

    /** Slots of a target from which on one may be left free. */
    static final int FEWEST_TO_SPARE_ONE = 5;

    public GateSettings {
        Objects.requireNonNull(strategy, "strategy");
        if (minLimit < 1 || initialLimit < minLimit || maxLimit < initialLimit) {
            throw new IllegalArgumentException(
                    "limits must be 1 <= min <= initial <= max: " + minLimit + ", " + initialLimit + ", " + maxLimit);
        }
        if (usableShare <= 0 || usableShare > 1) {
            throw new IllegalArgumentException(
                    "the usable share of slots must be above 0 and at most 1: " + usableShare);
        }
        if (announcedSlots < 0 || queueCapacity < 0) {
            throw new IllegalArgumentException("slots and queue capacity must not be negative");
        }
    }

    public static GateSettings defaults() {
        return new GateSettings(
                LimitStrategies.standard(),
                1,
                4,
                1_000,
                0,
                1,
                false,
                256,
                Duration.ofMillis(20),
                Duration.ofMillis(100),
                Duration.ofSeconds(2),
                Duration.ofSeconds(30));
    }

    /**
     * Settings for targets whose announced slots are what they can really run at once.
     *
     * <p>The limit is the announced slots from the first request on. A limit that is learned, or that rises with the
     * answers from a few, keeps most slots idle: gates of 55 slots before work of 0.4 s took 5 s of a burst to give
     * them out, after each start of a node.
     */
    public static GateSettings ofAnnouncedSlots() {
        GateSettings usual = defaults();
        return usual.withStrategy(LimitStrategies.fixed(usual.maxLimit())).withInitialLimit(usual.maxLimit());
    }

    /** The same settings for a target that announced this many slots; 0 when it announced nothing. */
    public GateSettings withAnnouncedSlots(int slots) {
        return with(strategy, initialLimit, slots, usableShare, timesByKind);
    }

    /** The same settings with another way to find the limit. */
    public GateSettings withStrategy(LimitStrategy other) {
        return with(other, initialLimit, announcedSlots, usableShare, timesByKind);
    }

    /** The same settings with another limit for a target that is cold. */
    public GateSettings withInitialLimit(int limit) {
        return with(strategy, limit, announcedSlots, usableShare, timesByKind);
    }

    /** The same settings with another share of the announced slots that is used. */
    public GateSettings withUsableShare(double share) {
        return with(strategy, initialLimit, announcedSlots, share, timesByKind);
    }

    /** The same settings with kinds of requests told apart or not. */
    public GateSettings withTimesByKind(boolean apart) {
        return with(strategy, initialLimit, announcedSlots, usableShare, apart);
    }

    private GateSettings with(LimitStrategy limits, int initial, int slots, double share, boolean apart) {
        return new GateSettings(
                limits,
                minLimit,
                initial,
                maxLimit,
                slots,
                share,
                apart,
                queueCapacity,
                queueTarget,
                queueInterval,
                rampTime,
                abandonedHold);
    }

    /** The highest limit allowed. */
    int bound() {
        return announcedSlots > 0 ? Math.min(usableSlots(), maxLimit) : maxLimit;
    }

    /** Of few slots none is left free: one of them is worth more than what the others gain. */
    private int usableSlots() {
        return announcedSlots < FEWEST_TO_SPARE_ONE ? announcedSlots : (int) (usableShare * announcedSlots);
    }

    /** Where the strategy starts: at the announced slots, which it may then lower, else at the initial limit. */
    int startLimit() {
        return announcedSlots > 0 ? bound() : initialLimit;
    }
}

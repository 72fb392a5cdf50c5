package io.beryldock.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of one target's gate.
 *
 * <p>Immutable.
 *
 * @param strategy computes the concurrency limit
 * @param minLimit lower bound of the limit
 * @param initialLimit limit of a cold target
 * @param maxLimit upper bound of the limit
 * @param announcedSlots slots that the target announced, a hard bound of the limit; 0 when it announced none
 * @param usableShare share of the announced slots that is used, for targets that slow down when nearly full
 * @param timesByKind whether service times are tracked per kind of request, for targets whose kinds differ much in
 *     service time
 * @param queueCapacity maximum number of queued requests
 * @param queueTarget wait allowed in a standing queue
 * @param queueInterval wait allowed in a burst; a queue that has not been empty for longer than this is a standing
 *     queue
 * @param rampTime time over which a cold target is given all its slots
 * @param abandonedHold time past its deadline for which a request keeps its slot when the target never answers
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

    /** Smallest number of announced slots of which one may be left free. */
    static final int MIN_SLOTS_FOR_HEADROOM = 5;

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
     * Settings for targets whose announced slots match the number of requests that they can run at once.
     *
     * <p>The limit equals the announced slots from the first request on. A limit that is learned, or that ramps up with
     * the answers from a small initial value, leaves most slots idle: gates with 55 slots and a service time of 0.4 s
     * needed 5 s of a burst to use all slots, after each start of a node.
     */
    public static GateSettings ofAnnouncedSlots() {
        GateSettings defaults = defaults();
        return defaults.withStrategy(LimitStrategies.fixed(defaults.maxLimit())).withInitialLimit(defaults.maxLimit());
    }

    /** Returns these settings for a target that announced this many slots; 0 when it announced none. */
    public GateSettings withAnnouncedSlots(int slots) {
        return with(strategy, initialLimit, slots, usableShare, timesByKind);
    }

    /** Returns these settings with another strategy for the limit. */
    public GateSettings withStrategy(LimitStrategy other) {
        return with(other, initialLimit, announcedSlots, usableShare, timesByKind);
    }

    /** Returns these settings with another limit for a cold target. */
    public GateSettings withInitialLimit(int limit) {
        return with(strategy, limit, announcedSlots, usableShare, timesByKind);
    }

    /** Returns these settings with another usable share of the announced slots. */
    public GateSettings withUsableShare(double share) {
        return with(strategy, initialLimit, announcedSlots, share, timesByKind);
    }

    /** Returns these settings with or without service times per kind of request. */
    public GateSettings withTimesByKind(boolean byKind) {
        return with(strategy, initialLimit, announcedSlots, usableShare, byKind);
    }

    private GateSettings with(LimitStrategy limits, int initial, int slots, double share, boolean byKind) {
        return new GateSettings(
                limits,
                minLimit,
                initial,
                maxLimit,
                slots,
                share,
                byKind,
                queueCapacity,
                queueTarget,
                queueInterval,
                rampTime,
                abandonedHold);
    }

    /** Returns the upper bound of the limit. */
    int bound() {
        return announcedSlots > 0 ? Math.min(usableSlots(), maxLimit) : maxLimit;
    }

    /**
     * Returns the usable slots. Targets with few slots use all of them, since leaving one free would cost more than the
     * remaining slots gain.
     */
    private int usableSlots() {
        return announcedSlots < MIN_SLOTS_FOR_HEADROOM ? announcedSlots : (int) (usableShare * announcedSlots);
    }

    /**
     * Returns the limit that the strategy starts from: the announced slots, which the strategy may then lower, or else
     * the initial limit.
     */
    int startLimit() {
        return announcedSlots > 0 ? bound() : initialLimit;
    }
}

package io.beryldock.standin;

import java.util.Optional;

/**
 * Which faults a stand-in target shows.
 *
 * <p>Immutable. Several may be on at once.
 *
 * @param slowFactor by which the time of a request's own work is multiplied, 1 for none
 * @param hang requests take their slot and are never answered
 * @param shedShare share of requests refused with the refusal marker before they run, 0 to 1
 * @param errorShare share of requests answered 500 after they ran, 0 to 1
 * @param bareErrorShare share of requests answered 503 without the refusal marker after they ran, 0 to 1
 * @param loseShare share of requests that run and whose connection is cut in place of the answer, 0 to 1
 * @param rateLimit requests a second that answers name as all that the target accepts, 0 for none
 * @param crashMarker a request whose path or {@code Crash-Marker} header holds this text ends the target
 */
public record TargetFaults(
        double slowFactor,
        boolean hang,
        double shedShare,
        double errorShare,
        double bareErrorShare,
        double loseShare,
        double rateLimit,
        String crashMarker) {

    private static final TargetFaults NONE = new TargetFaults(1, false, 0, 0, 0, 0, 0, "");

    public TargetFaults {
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        crashMarker = crashMarker == null ? "" : crashMarker;
        if (!(slowFactor > 0)) {
            throw new IllegalArgumentException("slowFactor must be above 0: " + slowFactor);
        }
        checkShare("shedShare", shedShare);
        checkShare("errorShare", errorShare);
        checkShare("bareErrorShare", bareErrorShare);
        checkShare("loseShare", loseShare);
        if (!(rateLimit >= 0)) {
            throw new IllegalArgumentException("rateLimit must not be negative: " + rateLimit);
        }
    }

    private static void checkShare(String name, double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(name + " must be 0 to 1: " + share);
        }
    }

    public static TargetFaults none() {
        return NONE;
    }

    public TargetFaults withSlowFactor(double factor) {
        return new TargetFaults(factor, hang, shedShare, errorShare, bareErrorShare, loseShare, rateLimit, crashMarker);
    }

    public TargetFaults withHang(boolean on) {
        return new TargetFaults(
                slowFactor, on, shedShare, errorShare, bareErrorShare, loseShare, rateLimit, crashMarker);
    }

    public TargetFaults withShedShare(double share) {
        return new TargetFaults(slowFactor, hang, share, errorShare, bareErrorShare, loseShare, rateLimit, crashMarker);
    }

    public TargetFaults withErrorShare(double share) {
        return new TargetFaults(slowFactor, hang, shedShare, share, bareErrorShare, loseShare, rateLimit, crashMarker);
    }

    public TargetFaults withBareErrorShare(double share) {
        return new TargetFaults(slowFactor, hang, shedShare, errorShare, share, loseShare, rateLimit, crashMarker);
    }

    public TargetFaults withLoseShare(double share) {
        return new TargetFaults(slowFactor, hang, shedShare, errorShare, bareErrorShare, share, rateLimit, crashMarker);
    }

    public TargetFaults withRateLimit(double perSecond) {
        return new TargetFaults(
                slowFactor, hang, shedShare, errorShare, bareErrorShare, loseShare, perSecond, crashMarker);
    }

    public TargetFaults withCrashMarker(String marker) {
        return new TargetFaults(slowFactor, hang, shedShare, errorShare, bareErrorShare, loseShare, rateLimit, marker);
    }

    /** Whether a request of that path and marker header ends the target. */
    boolean crashes(String path, Optional<String> header) {
        return !crashMarker.isEmpty()
                && (path.contains(crashMarker)
                        || header.filter(crashMarker::equals).isPresent());
    }
}

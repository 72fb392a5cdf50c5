package io.beryldock.store;

/** Paths, headers and status codes of docs/PLATFORM-PROTOCOL.md. */
public final class PlatformProtocol {

    /** Path prefix of values; the key follows. */
    public static final String VALUES = "/v1/kv/";

    /** Path prefix of leases; the name follows. */
    public static final String LEASES = "/v1/leases/";

    /** Version of the value in the answer, 0 when there is none. */
    public static final String VERSION_HEADER = "Store-Version";

    /** Stands in an answer when the store has not carried out the call and will not. */
    public static final String NOT_APPLIED_HEADER = "Store-Not-Applied";

    public static final int OK = 200;

    /** The watched value has not changed within the wait. */
    public static final int NOTHING_NEW = 204;

    public static final int BAD_REQUEST = 400;
    public static final int NOT_FOUND = 404;

    /** Another version stands in the way, or another holder has the lease. */
    public static final int CONFLICT = 409;

    public static final int TOO_LARGE = 413;
    public static final int UNAVAILABLE = 503;

    private PlatformProtocol() {}
}

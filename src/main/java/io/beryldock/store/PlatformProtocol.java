package io.beryldock.store;

/** Paths, headers and status codes of the protocol in docs/PLATFORM-PROTOCOL.md. */
public final class PlatformProtocol {

    /** Path prefix of values, followed by the key. */
    public static final String VALUES = "/v1/kv/";

    /** Path prefix of leases, followed by the name of the lease. */
    public static final String LEASES = "/v1/leases/";

    /** Header with the version of the value in the answer; 0 when the key has no value. */
    public static final String VERSION_HEADER = "Store-Version";

    /** Header of an answer to a call that the store has not applied and will not apply. */
    public static final String NOT_APPLIED_HEADER = "Store-Not-Applied";

    public static final int OK = 200;

    /** Status of a watch whose value did not change within the wait. */
    public static final int NOTHING_NEW = 204;

    public static final int BAD_REQUEST = 400;
    public static final int NOT_FOUND = 404;

    /** Status of a write whose expected version does not match, or of a lease that another holder has. */
    public static final int CONFLICT = 409;

    public static final int TOO_LARGE = 413;
    public static final int UNAVAILABLE = 503;

    private PlatformProtocol() {}
}

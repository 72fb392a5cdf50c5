package io.beryldock.soak;

import java.util.Optional;

/**
 * One request of a caller or an inner call of a target. Immutable.
 *
 * @param id never used twice
 * @param version which version of the document a probe asks for; 0 for any other request
 * @param key of the organisation, empty on open routes
 */
public record CallerRequest(String id, Use use, long version, String key, String body) {

    private static final char PARENT_SEPARATOR = '.';

    public static CallerRequest probe(String id, long version) {
        return new CallerRequest(id, Use.PROBE, version, "", "");
    }

    /**
     * Creates an inner call of a request.
     *
     * @param suffix distinguishes the call from all others of the request, without a dot
     */
    public static CallerRequest part(String parent, String suffix) {
        return part(parent + PARENT_SEPARATOR + suffix);
    }

    /** Returns the id of the request within whose run an inner call is made; empty for callers' requests. */
    Optional<String> parent() {
        int separator = id.lastIndexOf(PARENT_SEPARATOR);
        return use == Use.PART && separator > 0 ? Optional.of(id.substring(0, separator)) : Optional.empty();
    }

    public static CallerRequest part(String id) {
        return new CallerRequest(id, Use.PART, 0, "", "");
    }
}

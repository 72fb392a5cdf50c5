package io.beryldock.soak;

/**
 * One request of a caller or an inner call of a target. Immutable.
 *
 * @param id never used twice
 * @param version which version of the document a probe asks for; 0 for any other request
 * @param key of the organisation, empty on open routes
 */
public record CallerRequest(String id, Use use, long version, String key, String body) {

    public static CallerRequest probe(String id, long version) {
        return new CallerRequest(id, Use.PROBE, version, "", "");
    }

    public static CallerRequest part(String id) {
        return new CallerRequest(id, Use.PART, 0, "", "");
    }
}

package io.beryldock.standin;

/**
 * One request that a target really ran. Immutable.
 *
 * @param order number of the run at this target, from 1
 * @param context the call's context header, empty when it had none
 * @param path without the query
 * @param echo token of the request, that of an inner call begins with its outer one's and a dot
 * @param key the caller's own key, empty when it had none
 */
public record RunRecord(long order, String method, String path, String echo, String key, String context) {

    /** Token of the user-visible request for which this ran. */
    public String rootEcho() {
        int dot = echo.indexOf('.');
        return dot < 0 ? echo : echo.substring(0, dot);
    }
}

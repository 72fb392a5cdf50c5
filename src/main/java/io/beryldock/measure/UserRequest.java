package io.beryldock.measure;

import io.beryldock.measure.Topology.CallerClass;
import java.util.ArrayList;
import java.util.List;

/**
 * One thing that one user asked for, with all attempts at it.
 *
 * <p>Thread safe by its own lock. Invariant: it ends once, complete or not.
 */
final class UserRequest {

    /** What one attempt gave its caller. */
    enum Verdict {
        /** The whole answer to this very request. */
        COMPLETE,
        /** A target's answer that says that it failed. */
        FAILED,
        NOT_RUN,
        UNKNOWN,
        /** The caller gave up waiting, or its connection broke. */
        NO_ANSWER,
        /** An answer to another request. */
        CROSSED,
        /** An answer that lacks a part. */
        INCOMPLETE
    }

    private final CallerClass callers;
    private final String token;
    private final String path;
    private final int user;
    private final long asked;
    private final List<Verdict> verdicts = new ArrayList<>();
    private boolean ended;
    private long latency;

    UserRequest(CallerClass callers, String token, String path, int user, long asked) {
        this.callers = callers;
        this.token = token;
        this.path = path;
        this.user = user;
        this.asked = asked;
    }

    CallerClass callers() {
        return callers;
    }

    /** Its unique mark, which every answer to it repeats. */
    String token() {
        return token;
    }

    String path() {
        return path;
    }

    String pathAndQuery() {
        return path + "?echo=" + token;
    }

    int user() {
        return user;
    }

    /** When it was due to be asked, in nanoseconds of the run's ticker. */
    long asked() {
        return asked;
    }

    synchronized void add(Verdict verdict) {
        verdicts.add(verdict);
    }

    /** Ends it with the verdict of its last attempt. */
    synchronized void end(long now) {
        if (ended) {
            throw new IllegalStateException("request " + token + " ended twice");
        }
        ended = true;
        latency = now - asked;
    }

    synchronized boolean isEnded() {
        return ended;
    }

    synchronized int attempts() {
        return verdicts.size();
    }

    synchronized List<Verdict> verdicts() {
        return List.copyOf(verdicts);
    }

    /** What the user was left with. */
    synchronized Verdict last() {
        return verdicts.isEmpty() ? Verdict.NO_ANSWER : verdicts.get(verdicts.size() - 1);
    }

    synchronized boolean isComplete() {
        return ended && last() == Verdict.COMPLETE;
    }

    /** Time from when it was due to its end, in nanoseconds. */
    synchronized long latency() {
        return latency;
    }
}

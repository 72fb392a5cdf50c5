package io.beryldock.soak;

import com.google.common.collect.ImmutableSet;

/**
 * What callers, targets, operators and the operating system saw. Immutable.
 *
 * <p>Invariant: the events of one request come in their causal order, its sending first.
 */
public sealed interface SoakEvent {

    /** When it was seen, in nanoseconds of the soak's own clock. */
    long at();

    /** A caller or a target sends a request to a node. */
    record Sent(long at, int node, CallerRequest request) implements SoakEvent {}

    /** A request reaches the target beside a node, which may refuse it without running it. */
    record Arrived(long at, int node, String id, String service) implements SoakEvent {}

    /** A target beside a node begins to work on a request, whose body it received. */
    record Ran(long at, int node, String id, String service, String body) implements SoakEvent {}

    /**
     * A target answers a request and names in the answer what it accepts.
     *
     * @param ratePerSecond requests per second from all nodes together, 0 for no limit
     * @param leaving whether the target says that it is leaving
     */
    record Named(long at, int node, String id, double ratePerSecond, boolean leaving) implements SoakEvent {}

    /** The node has confirmed the departure of the target beside it, which serves on until its next start. */
    record DepartureConfirmed(long at, int node) implements SoakEvent {}

    /** The next start of the target beside the node begins; it has named nothing. */
    record TargetStarted(long at, int node) implements SoakEvent {}

    /**
     * A target beside a node begins to write a response without end.
     *
     * @param response number of the response, never used twice
     * @param what the kind of the response
     */
    record EndlessBegan(long at, int node, long response, String what) implements SoakEvent {}

    /**
     * A response without end has ended, usually by the close of its connection.
     *
     * @param bytes written so far, some of which may wait in socket buffers
     */
    record EndlessEnded(long at, int node, long response, String what, long bytes) implements SoakEvent {}

    /** A request ends at its sender; {@code reply} is empty of meaning but for {@link Ending#ANSWERED}. */
    record Ended(long at, String id, Ending ending, Reply reply) implements SoakEvent {}

    /** The store has confirmed a document of the version. */
    record DocumentWritten(long at, long version) implements SoakEvent {}

    /** The store has confirmed a document without the key. */
    record KeyRemoved(long at, String key) implements SoakEvent {}

    /** A node process was started. */
    record Started(long at, int node) implements SoakEvent {}

    /** A node was asked to stop as planned. */
    record StopAsked(long at, int node) implements SoakEvent {}

    /** The process of a node that was asked to stop has ended. */
    record StopEnded(long at, int node) implements SoakEvent {}

    /**
     * A fault that nobody planned begins.
     *
     * @param nodes the nodes whose process, links to other nodes or way to the store it harms
     */
    record FaultBegan(long at, ImmutableSet<Integer> nodes) implements SoakEvent {}

    /** It is over. */
    record FaultEnded(long at, ImmutableSet<Integer> nodes) implements SoakEvent {}

    /**
     * Nodes, or this process with all the proxies, did not get to run for a while, as on a busy host.
     *
     * @param nodes the nodes concerned
     */
    record HeldUp(long at, ImmutableSet<Integer> nodes) implements SoakEvent {}

    /** All nodes were killed and have been started again. */
    record AllBack(long at) implements SoakEvent {}

    /** What a node process holds. */
    record Sampled(long at, int node, long memoryKilobytes, int openFiles) implements SoakEvent {}

    /** Nothing more is sent. */
    record RunEnded(long at) implements SoakEvent {}

    /** How a request ended at its sender. */
    enum Ending {
        ANSWERED,
        /** The connection ended without a whole answer. */
        LOST,
        /** No connection could be made. */
        NOT_SENT,
        GAVE_UP
    }

    /**
     * An answer as it came. Immutable.
     *
     * @param echoedId the request's id as the answer names it, empty for none
     * @param signed whether it bears a target's signature
     */
    record Reply(int status, String echoedId, boolean signed, String body) {

        private static final int FIRST_SUCCESS = 200;
        private static final int FIRST_REDIRECTION = 300;

        /** Stands where no answer came. */
        public static Reply none() {
            return new Reply(0, "", false, "");
        }

        public boolean isSuccess() {
            return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
        }
    }
}

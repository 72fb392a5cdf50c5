package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Arrays;
import java.util.Optional;

/** What happens to a node from outside, or what operators do meanwhile. */
public enum FaultAction {
    PEERS_DELAYED(Link.PEERS, LinkState.DELAYED),
    PEERS_RESET(Link.PEERS, LinkState.RESET),
    PEERS_CUT_ONE_WAY(Link.PEERS, LinkState.CUT_ONE_WAY),
    PEERS_SILENT(Link.PEERS, LinkState.SILENT),
    STORE_DELAYED(Link.STORE, LinkState.DELAYED),
    STORE_RESET(Link.STORE, LinkState.RESET),
    STORE_CUT_ONE_WAY(Link.STORE, LinkState.CUT_ONE_WAY),
    STORE_SILENT(Link.STORE, LinkState.SILENT),
    TARGET_DELAYED(Link.TARGET, LinkState.DELAYED),
    TARGET_RESET(Link.TARGET, LinkState.RESET),
    TARGET_CUT_ONE_WAY(Link.TARGET, LinkState.CUT_ONE_WAY),
    TARGET_SILENT(Link.TARGET, LinkState.SILENT),
    /** No node reaches the store, to which the operators still write. */
    STORE_SILENT_FOR_ALL(Link.NONE, LinkState.OPEN),
    /** The store itself turns calls away. */
    STORE_REFUSING(Link.NONE, LinkState.OPEN),
    /** It does what it is asked and its answers are lost. */
    STORE_ANSWERS_LOST(Link.NONE, LinkState.OPEN),
    /** All leases end, as in an outage that outlasts them. */
    STORE_LEASES_LAPSED(Link.NONE, LinkState.OPEN),
    /** What has changed so far can't be followed any more. */
    STORE_HISTORY_FORGOTTEN(Link.NONE, LinkState.OPEN),
    /** The store goes away and comes back from a copy some seconds old. */
    STORE_RESTORED(Link.NONE, LinkState.OPEN),
    /** SIGSTOP, and SIGCONT at the end. */
    PAUSED(Link.NONE, LinkState.OPEN),
    /** SIGKILL, and a start at the end. */
    KILLED(Link.NONE, LinkState.OPEN),
    /** SIGKILL of all nodes, and their start at the end. */
    ALL_KILLED(Link.NONE, LinkState.OPEN),
    /** SIGTERM, and a start when the process has ended. */
    STOPPED_AS_PLANNED(Link.NONE, LinkState.OPEN),
    /** Watches of the store hear nothing of changes; other calls are answered. */
    STORE_CHANGES_WITHHELD(Link.NONE, LinkState.OPEN),
    /** A share of the writes gets no answer and is applied seconds later, if its condition still holds. */
    STORE_WRITES_LATE(Link.NONE, LinkState.OPEN),
    /** A target announces its departure and serves until the end, when its next start begins. */
    TARGET_LEAVES(Link.NONE, LinkState.OPEN),
    /** A share of the responses of all targets is sent again. */
    RESPONSES_REPEATED(ResponseFault.REPEATED),
    /** A share of them is broken. */
    RESPONSES_BROKEN(ResponseFault.BROKEN),
    /** A share of them has no end. */
    RESPONSES_ENDLESS(ResponseFault.ENDLESS),
    /** Operators write a new version of the document. */
    DOCUMENT_WRITTEN(Link.NONE, LinkState.OPEN),
    /** Operators take the oldest key away. */
    KEY_REMOVED(Link.NONE, LinkState.OPEN);

    /** Faults that nobody planned, but for the death of all nodes, which needs calm around it. */
    static final ImmutableList<FaultAction> UNPLANNED = Arrays.stream(values())
            .filter(action -> action.compareTo(KILLED) <= 0)
            .collect(ImmutableList.toImmutableList());

    /** Faults of the responses that targets write. */
    static final ImmutableList<FaultAction> OF_RESPONSES = Arrays.stream(values())
            .filter(action -> action.responseFault.isPresent())
            .collect(ImmutableList.toImmutableList());

    private static final ImmutableSet<FaultAction> HARMS_ALL = Sets.immutableEnumSet(
            STORE_SILENT_FOR_ALL,
            STORE_REFUSING,
            STORE_ANSWERS_LOST,
            STORE_LEASES_LAPSED,
            STORE_HISTORY_FORGOTTEN,
            STORE_RESTORED,
            STORE_CHANGES_WITHHELD,
            STORE_WRITES_LATE,
            ALL_KILLED);

    private final Link link;
    private final LinkState state;
    private final Optional<ResponseFault> responseFault;

    FaultAction(Link link, LinkState state) {
        this.link = link;
        this.state = state;
        this.responseFault = Optional.empty();
    }

    FaultAction(ResponseFault fault) {
        this.link = Link.NONE;
        this.state = LinkState.OPEN;
        this.responseFault = Optional.of(fault);
    }

    /** The link that it harms. */
    Link link() {
        return link;
    }

    LinkState state() {
        return state;
    }

    /** The fault that it brings into the responses of targets. */
    Optional<ResponseFault> responseFault() {
        return responseFault;
    }

    /** Whether it harms only the targets or what they send. */
    boolean harmsTargetsOnly() {
        return link == Link.TARGET || responseFault.isPresent();
    }

    /** Whether it harms the processes of all nodes, or the store or the way of all nodes to it. */
    boolean harmsAll() {
        return HARMS_ALL.contains(this);
    }

    boolean isUnplanned() {
        boolean drawnApart = this == ALL_KILLED
                || this == STORE_CHANGES_WITHHELD
                || this == STORE_WRITES_LATE
                || responseFault.isPresent();
        return drawnApart || UNPLANNED.contains(this);
    }

    /** The links of a node that can be harmed. */
    enum Link {
        NONE,
        /** From other nodes. */
        PEERS,
        STORE,
        TARGET
    }
}

package io.beryldock.command;

import io.beryldock.call.NodeId;

/** What became of a command to a target's node. Immutable. */
record TargetReport(Kind kind, String message, String remedy) {

    /** The ways such a command ends. */
    enum Kind {
        DONE,
        REFUSED,
        /** The command has not reached the node. */
        UNREACHABLE,
        /** The command may have been carried out. */
        UNKNOWN
    }

    static TargetReport done(String message) {
        return new TargetReport(Kind.DONE, message, "");
    }

    static TargetReport refused(NodeId node, String why) {
        return new TargetReport(Kind.REFUSED, "node " + node + " refused: " + why, "see show targets");
    }

    static TargetReport unknownNode(NodeId node) {
        return new TargetReport(
                Kind.REFUSED, "no node " + node + " is known", "see show targets everywhere for node ids");
    }

    static TargetReport unreachable(NodeId node) {
        String remedy = "nothing was changed; ask a node of its data centre, or stop the target itself";
        return new TargetReport(Kind.UNREACHABLE, "node " + node + " can't be reached from here", remedy);
    }

    static TargetReport unknown(NodeId node) {
        String remedy = "send the same command again, which does no harm, or see show targets";
        return new TargetReport(Kind.UNKNOWN, "node " + node + " did not answer in time", remedy);
    }
}

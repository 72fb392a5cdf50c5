package io.beryldock.forwarding;

import java.net.InetSocketAddress;

/** The processes of the target in this node's VM, one after the other. Thread safe. */
@FunctionalInterface
public interface TargetProcesses {

    /** Returns the process of the target that runs at the address now; must be called before an exchange begins. */
    TargetProcess current(InetSocketAddress target);
}

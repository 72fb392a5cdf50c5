package io.beryldock.forwarding;

import java.net.InetSocketAddress;

/** The lives of the target in this node's VM. Thread safe. */
@FunctionalInterface
public interface TargetLives {

    /** The life that the target at the address lives now; it must be asked for before an exchange begins. */
    TargetLife current(InetSocketAddress target);
}

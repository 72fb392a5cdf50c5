/** Membership of nodes and targets: announcements, gossip, failure detection and the directory of all targets. */
package io.beryldock.membership;

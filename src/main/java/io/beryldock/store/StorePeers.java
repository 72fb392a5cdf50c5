package io.beryldock.store;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The connection to the other nodes for questions and notices about the store. Called on the timer thread. */
public interface StorePeers {

    /** All nodes of this data centre that are believed to be alive, including this node. */
    ImmutableSet<NodeId> ownDataCentre();

    /** A random node of another data centre; empty when none is known. */
    Optional<NodeId> randomRemoteNode();

    /** Sends a question to the node. The future completes on any thread, and fails when no answer arrives in time. */
    CompletableFuture<ByteString> ask(NodeId node, ByteString question);

    /** Sends a message without confirmation; the message may be lost. */
    void send(NodeId node, ByteString message);

    /** Peers of a node that is alone and watches the store itself. */
    static StorePeers none(NodeId self) {
        return new StorePeers() {

            @Override
            public ImmutableSet<NodeId> ownDataCentre() {
                return ImmutableSet.of(self);
            }

            @Override
            public Optional<NodeId> randomRemoteNode() {
                return Optional.empty();
            }

            @Override
            public CompletableFuture<ByteString> ask(NodeId node, ByteString question) {
                return CompletableFuture.failedFuture(new PlatformException("there is no other node"));
            }

            @Override
            public void send(NodeId node, ByteString message) {
                // There is no other node.
            }
        };
    }
}

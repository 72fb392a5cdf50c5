package io.beryldock.store;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The other nodes, as far as they tell each other of the store. Called on the thread of the timers. */
public interface StorePeers {

    /** All nodes of this data centre that are believed alive, this one included. */
    ImmutableSet<NodeId> ownDataCentre();

    /** A node of another data centre, drawn by chance; empty when none is known. */
    Optional<NodeId> elsewhere();

    /** Asks the node; the future fails when no answer comes in time and completes on any thread. */
    CompletableFuture<ByteString> ask(NodeId node, ByteString question);

    /** Sends a message that may be lost. */
    void send(NodeId node, ByteString message);

    /** Nobody else: this node watches the store itself. */
    static StorePeers none(NodeId self) {
        return new StorePeers() {

            @Override
            public ImmutableSet<NodeId> ownDataCentre() {
                return ImmutableSet.of(self);
            }

            @Override
            public Optional<NodeId> elsewhere() {
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

package io.beryldock.http;

import io.beryldock.forwarding.TargetProbe;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.CompletableFuture;

/** Makes a connection to the target and closes it at once. Stateless, thread safe. */
public final class TcpTargetProbe implements TargetProbe {

    @Override
    public CompletableFuture<Boolean> listens(InetSocketAddress target) {
        CompletableFuture<Boolean> listens = new CompletableFuture<>();
        try {
            AsynchronousSocketChannel channel = AsynchronousSocketChannel.open();
            channel.connect(target, listens, new ConnectHandler(channel));
        } catch (IOException | RuntimeException e) {
            listens.complete(false);
        }
        return listens;
    }

    /** Completes the probe and closes its connection. */
    private record ConnectHandler(AsynchronousSocketChannel channel)
            implements CompletionHandler<Void, CompletableFuture<Boolean>> {

        @Override
        public void completed(Void nothing, CompletableFuture<Boolean> listens) {
            close();
            listens.complete(true);
        }

        @Override
        public void failed(Throwable failure, CompletableFuture<Boolean> listens) {
            close();
            listens.complete(false);
        }

        private void close() {
            try {
                channel.close();
            } catch (IOException e) {
                // The connection is of no further use either way.
                return;
            }
        }
    }
}

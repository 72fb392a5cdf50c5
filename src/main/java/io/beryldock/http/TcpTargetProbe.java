package io.beryldock.http;

import com.google.common.flogger.FluentLogger;
import io.beryldock.forwarding.TargetProbe;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.CompletableFuture;

/** Checks whether a target listens by opening a TCP connection and closing it at once. Stateless, thread safe. */
public final class TcpTargetProbe implements TargetProbe {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    @Override
    public CompletableFuture<Boolean> listens(InetSocketAddress target) {
        CompletableFuture<Boolean> listens = new CompletableFuture<>();
        try {
            AsynchronousSocketChannel channel = AsynchronousSocketChannel.open();
            channel.connect(target, listens, new ConnectHandler(channel));
        } catch (IOException | RuntimeException e) {
            log.atWarning().withCause(e).log("starting a probe connection to target at %s failed", target);
            listens.complete(false);
        }
        return listens;
    }

    /** Completes the probe and closes its connection. */
    private record ConnectHandler(AsynchronousSocketChannel channel)
            implements CompletionHandler<Void, CompletableFuture<Boolean>> {

        @Override
        public void completed(Void unused, CompletableFuture<Boolean> listens) {
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
                log.atFine().withCause(e).log("closing a probe connection failed");
            }
        }
    }
}

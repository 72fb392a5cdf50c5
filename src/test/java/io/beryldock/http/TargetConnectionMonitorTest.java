package io.beryldock.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.forwarding.TargetProcess;
import io.beryldock.forwarding.TargetProcessState;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TargetConnectionMonitorTest {

    private final TargetConnectionMonitor monitor = TargetConnectionMonitor.create(new TcpTargetProbe());
    private final List<Socket> accepted = new ArrayList<>();
    private ServerSocket listener;

    @AfterEach
    void close() throws IOException {
        monitor.close();
        endProcess();
    }

    private InetSocketAddress listen(int port) throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Simulates the end of the target's process: closes the listener and all accepted connections. */
    private void endProcess() throws IOException {
        listener.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }

    private static TargetProcessState check(TargetProcess process) {
        return process.checkState(0).join();
    }

    @Test
    void reportsGoesOnWhileTheTargetKeepsListening() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess process = monitor.current(target);
        accepted.add(listener.accept());
        assertThat(check(process)).isEqualTo(TargetProcessState.GOES_ON);
        assertThat(monitor.current(target)).isSameAs(process);
    }

    @Test
    void reportsEndedIfTheTargetRefusesConnections() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess process = monitor.current(target);
        accepted.add(listener.accept());
        endProcess();
        assertThat(check(process)).isEqualTo(TargetProcessState.ENDED);
    }

    /** Guards against an undetected crash: the target is restarted and listens again before the check. */
    @Test
    void reportsEndedIfTheTargetWasRestartedImmediately() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess process = monitor.current(target);
        accepted.add(listener.accept());
        endProcess();
        listen(target.getPort());
        assertThat(check(process)).isEqualTo(TargetProcessState.ENDED);
        TargetProcess current = monitor.current(target);
        assertThat(current).isNotSameAs(process);
        assertThat(check(current)).isEqualTo(TargetProcessState.GOES_ON);
    }

    /** Guards against an undetected crash of a process that ends before it accepts the idle connection. */
    @Test
    void reportsEndedIfTheConnectionWasNeverAcceptedBeforeTheRestart() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess process = monitor.current(target);
        endProcess();
        listen(target.getPort());
        assertThat(check(process)).isEqualTo(TargetProcessState.ENDED);
    }

    /**
     * Guards against requests that are wrongly suspected of a crash: a target may close a connection that was idle for
     * long, with or without sending a response before.
     */
    @Test
    void reconnectsIfTheTargetClosesTheIdleConnection() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess process = monitor.current(target);
        Socket idle = listener.accept();
        idle.getOutputStream().write("HTTP/1.1 408 Request Timeout\r\n\r\n".getBytes(UTF_8));
        idle.close();
        TargetProcess current = monitor.current(target);
        assertThat(current).isNotSameAs(process);
        assertThat(check(current)).isEqualTo(TargetProcessState.GOES_ON);
    }

    /** Guards against a false report of an end if no connection was established at the start of the exchange. */
    @Test
    void reportsUnknownIfNoConnectionWasEstablished() throws IOException {
        InetSocketAddress target = listen(0);
        listener.close();
        TargetProcess process = monitor.current(target);
        assertThat(check(process)).isEqualTo(TargetProcessState.ENDED);
        listen(target.getPort());
        assertThat(check(process)).isEqualTo(TargetProcessState.UNKNOWN);
    }

    @Test
    void reportsUnknownAfterClose() throws IOException {
        InetSocketAddress target = listen(0);
        monitor.close();
        CompletableFuture<TargetProcessState> sign = monitor.current(target).checkState(0);
        assertThat(sign.join()).isEqualTo(TargetProcessState.UNKNOWN);
    }
}

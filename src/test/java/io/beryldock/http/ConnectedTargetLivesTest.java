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

class ConnectedTargetLivesTest {

    private final ConnectedTargetLives lives = ConnectedTargetLives.create(new TcpTargetProbe());
    private final List<Socket> accepted = new ArrayList<>();
    private ServerSocket listener;

    @AfterEach
    void close() throws IOException {
        lives.close();
        end();
    }

    private InetSocketAddress listen(int port) throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Ends as a process does: the listener and all connections are closed. */
    private void end() throws IOException {
        listener.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }

    private static TargetProcessState look(TargetProcess life) {
        return life.checkState(0).join();
    }

    @Test
    void aTargetThatListensOnGoesOn() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess life = lives.current(target);
        accepted.add(listener.accept());
        assertThat(look(life)).isEqualTo(TargetProcessState.GOES_ON);
        assertThat(lives.current(target)).isSameAs(life);
    }

    @Test
    void aTargetThatRefusesConnectionsHasEnded() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess life = lives.current(target);
        accepted.add(listener.accept());
        end();
        assertThat(look(life)).isEqualTo(TargetProcessState.ENDED);
    }

    /** Guards against a crash that nobody sees: the target listens again before anybody looks. */
    @Test
    void aTargetThatWasStartedAgainAtOnceHasEnded() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess life = lives.current(target);
        accepted.add(listener.accept());
        end();
        listen(target.getPort());
        assertThat(look(life)).isEqualTo(TargetProcessState.ENDED);
        TargetProcess next = lives.current(target);
        assertThat(next).isNotSameAs(life);
        assertThat(look(next)).isEqualTo(TargetProcessState.GOES_ON);
    }

    /** Guards against the same where the process ends before it accepted the connection. */
    @Test
    void aTargetThatNeverAcceptedTheConnectionHasEndedToo() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess life = lives.current(target);
        end();
        listen(target.getPort());
        assertThat(look(life)).isEqualTo(TargetProcessState.ENDED);
    }

    /** Guards against innocent suspects: a target may close a connection that is idle for long, saying so or not. */
    @Test
    void anIdleConnectionThatTheTargetClosesIsMadeAnew() throws IOException {
        InetSocketAddress target = listen(0);
        TargetProcess life = lives.current(target);
        Socket idle = listener.accept();
        idle.getOutputStream().write("HTTP/1.1 408 Request Timeout\r\n\r\n".getBytes(UTF_8));
        idle.close();
        TargetProcess next = lives.current(target);
        assertThat(next).isNotSameAs(life);
        assertThat(look(next)).isEqualTo(TargetProcessState.GOES_ON);
    }

    /** Guards against an end that is told of a target which could not be watched from the start of the exchange. */
    @Test
    void aLifeThatCouldNotBeWatchedIsUnknown() throws IOException {
        InetSocketAddress target = listen(0);
        listener.close();
        TargetProcess life = lives.current(target);
        assertThat(look(life)).isEqualTo(TargetProcessState.ENDED);
        listen(target.getPort());
        assertThat(look(life)).isEqualTo(TargetProcessState.UNKNOWN);
    }

    @Test
    void nothingIsKeptOnceClosed() throws IOException {
        InetSocketAddress target = listen(0);
        lives.close();
        CompletableFuture<TargetProcessState> sign = lives.current(target).checkState(0);
        assertThat(sign.join()).isEqualTo(TargetProcessState.UNKNOWN);
    }
}

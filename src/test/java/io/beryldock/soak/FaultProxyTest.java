package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class FaultProxyTest {

    private static final int GENEROUS_MILLIS = 30_000;
    private static final int SHORT_MILLIS = 50;

    private ServerSocket listener;
    private FaultProxy proxy;
    private Socket client;
    private Socket server;

    @BeforeEach
    void connect() throws IOException {
        listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        proxy = FaultProxy.start(free, (InetSocketAddress) listener.getLocalSocketAddress());
        client = new Socket(proxy.address().getAddress(), proxy.address().getPort());
        server = listener.accept();
        client.setSoTimeout(GENEROUS_MILLIS);
        server.setSoTimeout(GENEROUS_MILLIS);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
        listener.close();
        proxy.close();
    }

    private static void send(Socket from, int value) throws IOException {
        from.getOutputStream().write(value);
    }

    private static int receive(Socket at) throws IOException {
        return at.getInputStream().read();
    }

    @Test
    void anOpenLinkPassesBothWays() throws IOException {
        send(client, 1);
        assertThat(receive(server)).isEqualTo(1);
        send(server, 2);
        assertThat(receive(client)).isEqualTo(2);
    }

    @Test
    void aLinkThatIsCutOneWayPassesTheOtherAndThenWhatItHeldUp() throws IOException {
        proxy.set(LinkState.CUT_ONE_WAY);
        send(server, 2);
        send(client, 1);
        assertThat(receive(server)).isEqualTo(1);
        client.setSoTimeout(SHORT_MILLIS);
        assertThatThrownBy(() -> receive(client)).isInstanceOf(SocketTimeoutException.class);
        client.setSoTimeout(GENEROUS_MILLIS);
        proxy.set(LinkState.OPEN);
        assertThat(receive(client)).isEqualTo(2);
    }

    @Test
    void aSilentLinkPassesNothingUntilItOpens() throws IOException {
        proxy.set(LinkState.SILENT);
        send(client, 1);
        server.setSoTimeout(SHORT_MILLIS);
        assertThatThrownBy(() -> receive(server)).isInstanceOf(SocketTimeoutException.class);
        server.setSoTimeout(GENEROUS_MILLIS);
        proxy.set(LinkState.OPEN);
        assertThat(receive(server)).isEqualTo(1);
    }

    @Test
    void aDelayedLinkPassesAll() throws IOException {
        proxy.set(LinkState.DELAYED);
        send(client, 1);
        assertThat(receive(server)).isEqualTo(1);
    }

    @Test
    void aResetEndsConnections() {
        proxy.set(LinkState.RESET);
        assertThatThrownBy(() -> receive(client)).isInstanceOf(IOException.class);
    }
}

package io.beryldock.standin;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;

/** One connection without a pool, so that a test knows which connection carries its request. */
final class RawConnection implements AutoCloseable {

    private final Socket socket;
    private final BufferedReader reader;

    private RawConnection(Socket socket) throws IOException {
        this.socket = socket;
        this.reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
    }

    static RawConnection open(InetSocketAddress address) throws IOException {
        return new RawConnection(new Socket(address.getAddress(), address.getPort()));
    }

    void send(String path) throws IOException {
        socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: target\r\n\r\n").getBytes(US_ASCII));
    }

    /** The status line of the answer. */
    String get(String path) throws IOException {
        send(path);
        String status = reader.readLine();
        int length = 0;
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            if (line.startsWith("Content-Length: ")) {
                length = Integer.parseInt(line.substring("Content-Length: ".length()));
            }
        }
        for (int i = 0; i < length; i++) {
            reader.read();
        }
        return status;
    }

    boolean hasAnswer() throws IOException {
        return reader.ready();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

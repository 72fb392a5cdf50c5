package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;

/** One connection of a sound client. */
final class Client implements AutoCloseable {

    private final Socket socket;
    private final BufferedInputStream in;
    private final OutputStream out;
    private final Log log;

    Client(int port, Log log) throws IOException {
        this(port, log, 0);
    }

    /** Connects with a receive buffer of that size; 0 for the system's. */
    Client(int port, Log log, int receiveBuffer) throws IOException {
        this.log = log;
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setTcpNoDelay(true);
        in = Http.buffered(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void timeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    void send(String method, String path, String id, byte[] body, int deadlineMillis) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: hulo84.example\r\n");
        head.append("X-Beryldock-Request-Id: ").append(id).append("\r\n");
        head.append("X-Beryldock-Deadline-Ms: ").append(deadlineMillis).append("\r\n");
        if (body.length > 0) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        out.write(Http.bytes(head + "\r\n"));
        out.write(body);
        out.flush();
        log.add("sent " + id + ": " + method + " " + path);
    }

    /** Reads the next answer; null if the connection ended instead. */
    Http.Message read() {
        try {
            Http.Message answer = Http.read(in, true);
            if (answer == null) {
                log.add("the connection ended");
                return null;
            }
            log.add("answer " + answer.status() + " to " + answer.header("X-Beryldock-Request-Id") + ", "
                    + answer.body.length + " bytes of " + answer.header("Content-Length")
                    + (answer.header("Connection") == null ? "" : ", Connection: " + answer.header("Connection")));
            return answer;
        } catch (IOException e) {
            log.add("the connection failed: " + e.getMessage());
            return null;
        }
    }

    /** Whether the answer is the instance's whole answer to the request. */
    static boolean isWhole(Http.Message answer, String id, int bytes) {
        return answer != null
                && answer.complete
                && answer.status() == 200
                && id.equals(answer.header("X-Beryldock-Request-Id"))
                && ("sig-" + id).equals(answer.header("X-Beryldock-Response-Signature"))
                && Arrays.equals(answer.body, Instance.body(id, bytes));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One connection of a client, which may send further requests before the first has been answered. */
public final class Client implements AutoCloseable {

    private final Record record;
    private final String name;
    private final Socket socket;
    private final InputStream in;
    private final List<String> sent = new ArrayList<>();
    private final List<String> complete = new ArrayList<>();
    private final List<String> wrong = new ArrayList<>();
    private final List<String> failed = new ArrayList<>();

    /**
     * @param bytesPerSecond rate at which the client reads, 0 for as fast as it can
     */
    public Client(Record record, String name, InetSocketAddress node, double bytesPerSecond) throws IOException {
        this(record, name, node, bytesPerSecond, 0);
    }

    /**
     * @param bytesPerSecond rate at which the client reads, 0 for as fast as it can
     * @param segment largest segment that it takes, 0 for that of the loopback
     */
    public Client(Record record, String name, InetSocketAddress node, double bytesPerSecond, int segment)
            throws IOException {
        this.record = record;
        this.name = name;
        SocketChannel channel = SocketChannel.open(StandardProtocolFamily.INET);
        socket = channel.socket();
        if (segment > 0) {
            Segments.limit(channel, segment);
        }
        if (bytesPerSecond > 0) {
            socket.setReceiveBufferSize(32 << 10);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        socket.connect(node, 1000);
        in = new BufferedInputStream(
                bytesPerSecond > 0 ? new Paced(socket.getInputStream(), bytesPerSecond) : socket.getInputStream(),
                16 << 10);
    }

    public void send(String method, String host, String path, String id, int deadlineMillis, String more, byte[] body)
            throws IOException {
        String length = body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Beryldock-Request-Id: " + id
                + "\r\nX-Beryldock-Deadline-Ms: " + deadlineMillis + "\r\n" + more + length + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, whole, headBytes.length, body.length);
        synchronized (sent) {
            sent.add(id);
        }
        record.line("client %s sends %s %s%s", name, id, method, more.isEmpty() ? "" : " with " + more.trim());
        socket.getOutputStream().write(whole);
    }

    /** Reads the answers to all requests sent; returns early if the connection ends. */
    public void readAll(int expected) {
        try {
            for (int i = 0; i < expected; i++) {
                Wire.Message answer = Wire.read(in);
                if (answer == null) {
                    record.line("client %s: the connection has ended after %d of %d answers", name, i, expected);
                    return;
                }
                check(sent.get(i), answer);
            }
        } catch (IOException e) {
            record.line("client %s: the connection has ended within an answer: %s", name, e);
        }
    }

    private void check(String id, Wire.Message answer) {
        boolean success = answer.status() / 100 == 2;
        boolean own = answer.header("X-Beryldock-Request-Id").equals(id);
        boolean signed = answer.header("X-Beryldock-Response-Signature").equals(Instance.signature(id));
        boolean whole = Arrays.equals(answer.body(), Instance.body(id, answer.body().length));
        if (success && own && signed && whole) {
            complete.add(id);
            record.line("client %s has the whole answer %d to %s", name, answer.status(), id);
        } else if (success) {
            wrong.add(id);
            record.line("client %s has a wrong success to %s: %s", name, id, answer.headers());
        } else {
            failed.add(id);
            record.line("client %s has %d to %s", name, answer.status(), id);
        }
    }

    public List<String> sent() {
        return sent;
    }

    public List<String> complete() {
        return complete;
    }

    public List<String> wrong() {
        return wrong;
    }

    public List<String> failed() {
        return failed;
    }

    /** Requests with neither a success nor a failure. */
    public List<String> unanswered() {
        List<String> left = new ArrayList<>(sent);
        left.removeAll(complete);
        left.removeAll(wrong);
        left.removeAll(failed);
        return left;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A stream that is read at a steady rate, in small pieces. */
    private static final class Paced extends InputStream {
        private static final int PIECE = 8 << 10;
        private final InputStream from;
        private final double rate;
        private long start;
        private long taken;

        Paced(InputStream from, double rate) {
            this.from = from;
            this.rate = rate;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] into, int offset, int length) throws IOException {
            int got = from.read(into, offset, Math.min(length, PIECE));
            if (start == 0) {
                start = System.nanoTime();
            }
            taken += Math.max(0, got);
            long due = start + (long) (taken / rate * 1e9);
            long wait = due - System.nanoTime();
            if (wait > 0) {
                try {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            return got;
        }
    }
}

package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for an instance: works on each request for a time, then answers with the id, the signature and a body that
 * consists of the id, repeated. Checks in with the node of its machine.
 */
public final class Instance implements AutoCloseable {

    /** How long an instance is away after a crash. */
    private static final double CRASH_SECONDS = 1.5;

    private final Record record;
    private final Site.Node node;
    private final String name;
    private final int slots;
    private final InetSocketAddress bound;
    private final String address;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private volatile String id;
    private int lives = 1;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> answered = new ConcurrentHashMap<>();
    private final AtomicInteger working = new AtomicInteger();
    private volatile boolean closed;
    private volatile boolean left;
    private volatile boolean leaving;
    private int sequence;

    public Instance(Record record, Site.Node node, String id, int slots) throws IOException {
        this.record = record;
        this.node = node;
        this.name = id;
        this.id = id;
        this.slots = slots;
        bound = new InetSocketAddress(node.ip, Site.freePort(node.ip));
        address = node.ip + ":" + bound.getPort();
        listen();
        start(this::accept);
        start(this::beat);
    }

    private void listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(bound, 1024);
        listener = socket;
    }

    /** Ends all connections, as the end of a process does; the next life begins after the time, with a new id. */
    private synchronized void crash(double seconds) {
        record.line("instance %s crashes", id);
        left = true;
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            Thread.sleep((long) (seconds * 1000));
            if (closed) {
                return;
            }
            lives++;
            id = name + "-" + lives;
            sequence = 0;
            listen();
            left = false;
            record.line("instance %s has started", id);
            start(this::accept);
            start(this::beat);
        } catch (IOException | InterruptedException e) {
            record.line("instance %s could not start again: %s", name, e);
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** From now on all answers say that the instance is leaving; it goes on checking in as ready. */
    public void sayLeaving() {
        leaving = true;
    }

    /** How often the request has run. */
    public int runs(String request) {
        return runs.containsKey(request) ? runs.get(request).get() : 0;
    }

    /** Whether the whole answer to the request has been written. */
    public boolean hasAnswered(String request) {
        return answered.containsKey(request);
    }

    public int totalRuns() {
        return runs.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    /** Requests at work now. */
    public int working() {
        return working.get();
    }

    private void accept() {
        ServerSocket current = listener;
        while (!closed) {
            try {
                Socket socket = current.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            for (Wire.Message request = Wire.read(in); request != null; request = Wire.read(in)) {
                handle(request, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Takes the time of the work and the size of the answer from the query: ?ms=50&bytes=1000. */
    private void handle(Wire.Message request, OutputStream out) throws IOException, InterruptedException {
        String uri = request.first().split(" ")[1];
        if (uri.equals("/health")) {
            out.write(("HTTP/1.1 200 OK\r\nX-Beryldock-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        String request_id = request.header("X-Beryldock-Request-Id");
        if (!request.header("X-Beryldock-Expected-Instance").equals(id)) {
            out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Beryldock-Instance-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        if (working.incrementAndGet() > slots) {
            working.decrementAndGet();
            out.write(("HTTP/1.1 503 Service Unavailable\r\nX-Beryldock-Not-Executed: 1\r\nX-Beryldock-Request-Id: "
                            + request_id + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        try {
            runs.computeIfAbsent(request_id, unused -> new AtomicInteger()).incrementAndGet();
            record.line("instance %s runs %s, body of %d bytes", id, request_id, request.body().length);
            if (number(uri, "crash") > 0) {
                start(() -> crash(CRASH_SECONDS));
                Thread.sleep(1000);
                return;
            }
            Thread.sleep(number(uri, "ms"));
            byte[] body = body(request_id, number(uri, "bytes"));
            String head = "HTTP/1.1 200 OK\r\nX-Beryldock-Request-Id: " + request_id
                    + "\r\nX-Beryldock-Response-Signature: " + signature(request_id) + (leaving ? "\r\nServer-Leaving: 1" : "")
                    + "\r\nContent-Length: "
                    + body.length + "\r\n\r\n";
            byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = new byte[headBytes.length + body.length];
            System.arraycopy(headBytes, 0, whole, 0, headBytes.length);
            System.arraycopy(body, 0, whole, headBytes.length, body.length);
            out.write(whole);
            answered.put(request_id, body.length);
            record.line("instance %s has answered %s with %d bytes", id, request_id, body.length);
        } finally {
            working.decrementAndGet();
        }
    }

    public static String signature(String request) {
        return "s." + Integer.toHexString(request.hashCode());
    }

    public static byte[] body(String request, int length) {
        byte[] pattern = (request + "\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }

    private static int number(String uri, String name) {
        for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return Integer.parseInt(pair.substring(name.length() + 1));
            }
        }
        return 0;
    }

    private void beat() {
        while (!closed && !left) {
            checkIn(++sequence);
            try {
                Thread.sleep(1500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends the check-in with the number; returns the status of the response, 0 if there is none. */
    public int checkIn(int number) {
        String body = "{\"address\":\"" + address + "\",\"info\":{\"service\":\"" + node.service
                + "\",\"version\":\"v1\",\"zone\":\"" + node.zone + "\",\"slots\":" + slots
                + "},\"status\":{\"state\":\"ready\",\"sequence\":" + number + ",\"coldRemainingS\":0}}";
        return call("PUT", body);
    }

    public int lastNumber() {
        return sequence;
    }

    /** Ends the check-ins and reports the end; the instance goes on serving. */
    public int leave() {
        left = true;
        return call("DELETE", "");
    }

    private int call(String method, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(Site.address(node.control), 500);
            socket.setSoTimeout(1000);
            String type = body.isEmpty() ? "" : "Content-Type: application/json\r\n";
            socket.getOutputStream()
                    .write((method + " /instances/" + id + " HTTP/1.1\r\nHost: " + node.control + "\r\n" + type
                                    + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            Wire.Message answer = Wire.read(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}

package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound application instance: it says 421 to a request that expects another one, runs a request for the time that its
 * path names ({@code /route/takes/MILLIS/bytes/N}), and answers with its signature and the request's id.
 */
final class Instance implements AutoCloseable {

    final String id;
    private final Node node;
    private final Log log;
    private final ServerSocket listener;
    private final int slots;
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile String state = "ready";
    private volatile boolean beating = true;
    private volatile boolean closed;

    /** Share of the arrivals that the instance refuses while its health probe is good. */
    volatile double refusedShare;

    /** Share of the answers after which an extra one follows late, where the next answer of the connection is due. */
    volatile double extraShare;

    /** Answers, refusals among them, and extra answers since the shares were set. */
    final AtomicInteger answers = new AtomicInteger();

    final AtomicInteger refusals = new AtomicInteger();
    final AtomicInteger extras = new AtomicInteger();
    private final Random random = new Random(1);

    /** How often each request id began to run here. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** Requests whose runs ended with the instance. */
    final Set<String> lost = ConcurrentHashMap.newKeySet();

    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Moments, in milliseconds of the log, at which requests began to run. */
    final Map<String, Long> arrivals = new ConcurrentHashMap<>();

    Instance(String id, Node node, int slots, Log log) throws IOException {
        this.id = id;
        this.node = node;
        this.slots = slots;
        this.log = log;
        this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
        daemon(this::beat);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        while (!closed) {
            if (beating) {
                checkIn(state);
            }
            try {
                Thread.sleep(1500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** One check-in; tells whether it was confirmed within a second. */
    boolean checkIn(String said) {
        return checkIn(said, sequence.incrementAndGet());
    }

    boolean checkIn(String said, int number) {
        String body = String.format(
                "{\"address\":\"127.0.0.1:%d\",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
                        + "\"status\":{\"state\":\"%s\",\"sequence\":%d,\"coldRemainingS\":0}}",
                listener.getLocalPort(), node.service, node.zone, slots, said, number);
        int status = call("PUT", body);
        log.add("check-in " + number + " of " + id + " (" + said + "): " + status);
        return status == 200;
    }

    int nextSequence() {
        return sequence.incrementAndGet();
    }

    String service() {
        return node.service;
    }

    void stopBeating() {
        beating = false;
    }

    boolean say(String said) {
        state = said;
        return checkIn(said);
    }

    /** Says that the instance leaves. */
    boolean leave() {
        beating = false;
        int status = call("DELETE", null);
        log.add("DELETE of " + id + ": " + status);
        return status == 200;
    }

    private int call(String method, String body) {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + node.control + "/instances/" + id).toURL().openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            connection.setRequestMethod(method);
            if (body != null) {
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                connection.getOutputStream().write(Http.bytes(body));
            }
            int status = connection.getResponseCode();
            connection.disconnect();
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        sockets.add(socket);
        try (socket) {
            BufferedInputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] extra = new byte[0];
            for (Http.Message request = Http.read(in, false); request != null && request.complete; ) {
                if (extra.length > 0) {
                    log.add("extra answer of " + id + " goes out where the next answer is due");
                    out.write(extra);
                    out.flush();
                }
                extra = answer(request, out);
                request = Http.read(in, false);
            }
        } catch (IOException | InterruptedException e) {
            // The node closed the connection; the run has ended with it.
        }
    }

    /** Answers the request; returns bytes that go out before the next answer of the connection, mostly none. */
    private byte[] answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String requestId = request.header("X-Beryldock-Request-Id");
        String expected = request.header("X-Beryldock-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            log.add("421 by " + id + " to " + requestId);
            out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nX-Beryldock-Instance-Id: " + id
                    + "\r\nContent-Length: 0\r\n\r\n"));
            return new byte[0];
        }
        answers.incrementAndGet();
        if (isRefused()) {
            log.add("503, not executed, by " + id + " to " + requestId);
            byte[] refusal = Http.bytes("HTTP/1.1 503 Service Unavailable\r\nX-Beryldock-Request-Id: " + requestId
                    + "\r\nX-Beryldock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            out.write(refusal);
            out.flush();
            return takeExtra() ? refusal : new byte[0];
        }
        runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
        arrivals.putIfAbsent(requestId, log.millis());
        String[] path = request.word(1).split("/");
        int work = number(path, "takes", 50);
        int bytes = number(path, "bytes", 100);
        log.add("run of " + requestId + " begins at " + id + ": " + request.word(0) + " " + request.word(1));
        Thread.sleep(work);
        if (closed) {
            lost.add(requestId);
            log.add("run of " + requestId + " ended with " + id);
            throw new IOException("the instance has ended");
        }
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        head.append("X-Beryldock-Request-Id: ").append(requestId).append("\r\n");
        head.append("X-Beryldock-Response-Signature: sig-").append(requestId).append("\r\n");
        head.append("Content-Type: text/plain\r\nContent-Length: ").append(bytes).append("\r\n\r\n");
        out.write(Http.bytes(head.toString()));
        out.write(body(requestId, bytes));
        out.flush();
        log.add("run of " + requestId + " is answered by " + id);
        return new byte[0];
    }

    private synchronized boolean isRefused() {
        boolean refused = random.nextDouble() < refusedShare;
        if (refused) {
            refusals.incrementAndGet();
        }
        return refused;
    }

    /** Whether an extra answer may follow without going over the share of the answers so far. */
    private synchronized boolean takeExtra() {
        boolean taken = extras.get() + 1 <= extraShare * answers.get();
        if (taken) {
            extras.incrementAndGet();
        }
        return taken;
    }

    /** The whole body of an answer, which begins with the request's id. */
    static byte[] body(String requestId, int length) {
        byte[] body = new byte[length];
        byte[] seed = Http.bytes(requestId + " ");
        for (int i = 0; i < length; i++) {
            body[i] = seed[i % seed.length];
        }
        return body;
    }

    static int number(String[] path, String name, int otherwise) {
        for (int i = 0; i + 1 < path.length; i++) {
            if (path[i].equals(name)) {
                return Integer.parseInt(path[i + 1]);
            }
        }
        return otherwise;
    }

    /** Ends the instance: what is at work ends with it. */
    void exit() throws IOException {
        log.add("instance " + id + " ends");
        close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}

package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node as a process of its own, started by the line {@code run} of the deploy file with settings of its template. */
final class Node implements AutoCloseable {

    private static final List<Node> STARTED = new ArrayList<>();

    /** Ports that were given out or found taken. */
    private static final Set<Integer> PORTS = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            synchronized (STARTED) {
                STARTED.forEach(Node::close);
            }
        }));
    }

    final String id;
    final String zone;
    final String service;
    final int requests = freePort();
    final int readiness = freePort();
    final int control = freePort();
    final int peers = freePort();
    private final Path folder;
    private final int store;
    private final Log log;
    private Process process;

    Node(String id, String zone, String service, int store, Path folder, Log log) throws IOException {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.store = store;
        this.folder = folder;
        this.log = log;
        synchronized (STARTED) {
            STARTED.add(this);
        }
    }

    /** A free port below those that the system gives to outgoing connections, which a stopped node could lose it to. */
    static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            if (!PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is taken; the next one is tried.
            }
        }
    }

    private String settings() throws IOException {
        String text = Files.readString(Path.of("deploy/node.json"));
        // The bounds of a small installation have no revocation and no allowances.
        text = Pattern.compile("\\{\\{#([^}]*)}}.*?\\{\\{/\\1}}", Pattern.DOTALL).matcher(text).replaceAll("");
        String[][] values = {
            {"node", id},
            {"zone", zone},
            {"ip", "127.0.0.1"},
            {"service", service},
            {"listenAddrs.outbound", "127.0.0.1:" + requests},
            {"listenAddrs.ready", "127.0.0.1:" + readiness},
            {"listenAddrs.control", "127.0.0.1:" + control},
            {"internalPorts.0", "" + peers},
            {"platform.address", "127.0.0.1:" + store},
            {"bounds.budgetRatio", "0.2"},
            {"bounds.budgetWindowS", "10"},
            {"bounds.graceS", "6"}
        };
        for (String[] value : values) {
            text = text.replace("{{" + value[0] + "}}", value[1]);
        }
        return text;
    }

    /** Starts the process; {@link #awaitReady} waits until it serves. */
    Node start() throws IOException {
        Path file = folder.resolve(id + ".json");
        Files.writeString(file, settings());
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no line run");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("BERYLDOCK_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(id + ".log").toFile()));
        process = builder.start();
        log.add("node " + id + " started");
        return this;
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + readiness + "/readiness").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 300; i++) {
            if (isReady()) {
                log.add("node " + id + " is ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("node " + id + " does not become ready: " + Files.readString(folder.resolve(id + ".log")));
    }

    void signal(String name) throws IOException, InterruptedException {
        log.add("signal " + name + " to node " + id);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
        }
    }
}

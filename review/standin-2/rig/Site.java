package rig;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: a stand-in of the store and nodes that run by the line of the deploy file,
 * with settings made from its template. Ends all processes that it started.
 */
public final class Site implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern SECTION = Pattern.compile("(?s)\\{\\{#([a-zA-Z.]+)}}.*?\\{\\{/\\1}}");
    private static final Pattern FIELD = Pattern.compile("\\{\\{([^}]*)}}");

    /** Bounds of the small installations. */
    private static final Map<String, String> BOUNDS =
            Map.of("bounds.budgetRatio", "0.2", "bounds.budgetWindowS", "10", "bounds.graceS", "6");

    private static final Set<Integer> GIVEN = new HashSet<>();

    private final Path root;
    private final Path folder;
    private final Record record;
    private final Store store;
    private final String storeAddress;
    private final int peerPort;
    private final List<Node> nodes = new ArrayList<>();

    public Site(Path root, Record record) throws IOException {
        this.root = root;
        this.record = record;
        this.folder = Files.createTempDirectory("review");
        storeAddress = "127.0.1.1:" + freePort("127.0.1.1");
        store = new Store(address(storeAddress));
        peerPort = freePort("127.0.2.1");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    public static InetSocketAddress address(String text) {
        String[] parts = text.split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }

    /** A free port below those that the system gives to outgoing connections; no port is given twice. */
    public static synchronized int freePort(String ip) throws IOException {
        for (int tries = 0; tries < 1000; tries++) {
            int port = 20_000 + ThreadLocalRandom.current().nextInt(10_000);
            if (!GIVEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(ip, port));
                return port;
            } catch (BindException e) {
                // Another program has it.
            }
        }
        throw new IOException("no free port");
    }

    public Store store() {
        return store;
    }

    /** A node and the addresses of its machine. */
    public final class Node {
        public final String name;
        public final String zone;
        public final String ip;
        public final String service;
        public final String requests;
        public final String ready;
        public final String control;
        private Process process;

        private Node(String name, String zone, String ip, String service) throws IOException {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.service = service;
            requests = ip + ":" + freePort(ip);
            ready = ip + ":" + freePort(ip);
            control = ip + ":" + freePort(ip);
        }

        public void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings());
            Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
            run.find();
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            builder.directory(root.toFile());
            builder.environment().put("BERYLDOCK_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log()));
            process = builder.start();
            record.line("node %s started, process %d", name, process.pid());
        }

        public File log() {
            return folder.resolve(name + ".log").toFile();
        }

        private String settings() throws IOException {
            String text = Files.readString(root.resolve("deploy/node.json"));
            Matcher fields = FIELD.matcher(SECTION.matcher(text).replaceAll(""));
            return fields.replaceAll(found -> Matcher.quoteReplacement(field(found.group(1))));
        }

        private String field(String field) {
            return switch (field) {
                case "node" -> name;
                case "zone" -> zone;
                case "ip" -> ip;
                case "service" -> service;
                case "listenAddrs.outbound" -> requests;
                case "listenAddrs.ready" -> ready;
                case "listenAddrs.control" -> control;
                case "internalPorts.0" -> Integer.toString(peerPort);
                case "platform.address" -> storeAddress;
                default -> {
                    if (!BOUNDS.containsKey(field)) {
                        throw new IllegalStateException("unknown field of the template: " + field);
                    }
                    yield BOUNDS.get(field);
                }
            };
        }

        /** SIGTERM, as the platform sends it. */
        public void terminate() {
            process.destroy();
            record.line("SIGTERM to node %s", name);
        }

        public boolean isRunning() {
            return process.isAlive();
        }

        public long pid() {
            return process.pid();
        }

        /** Waits for the end of the process; after the time, SIGKILL ends it, as the platform does. */
        public void awaitEnd(double seconds) throws InterruptedException {
            if (process.waitFor((long) (seconds * 1000), TimeUnit.MILLISECONDS)) {
                record.line("node %s has ended with %d", name, process.exitValue());
            } else {
                kill();
            }
        }

        public void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            record.line("SIGKILL to node %s", name);
        }

        public boolean isReady() {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL("http://" + ready + "/readiness").openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(500);
                return call.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    public Node node(String name, String zone, String ip, String service) throws IOException {
        Node node = new Node(name, zone, ip, service);
        nodes.add(node);
        return node;
    }

    /** Waits until all nodes are ready and have written their records; exits with 2 if that takes too long. */
    public void awaitReady() throws InterruptedException {
        for (int tries = 0; tries < 200; tries++) {
            if (nodes.stream().allMatch(Node::isReady) && store.count("beryldock/nodes/") == nodes.size()) {
                record.line("all nodes are ready");
                Thread.sleep(2500);
                return;
            }
            Thread.sleep(100);
        }
        record.say("the nodes did not become ready");
        System.exit(2);
    }

    private void killAll() {
        nodes.forEach(node -> {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        });
    }

    @Override
    public void close() throws IOException {
        killAll();
        store.close();
        if (System.getenv("KEEP") == null) {
            for (File file : folder.toFile().listFiles()) {
                file.delete();
            }
            Files.delete(folder);
        } else {
            System.out.println("logs: " + folder);
        }
    }
}

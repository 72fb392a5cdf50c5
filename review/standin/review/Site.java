package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A small installation on loopback addresses: a store, nodes as processes, and an instance beside each node. */
final class Site implements AutoCloseable {

    static final String LISTS = "huvo11a";
    static final String ORDERS = "wuno96b";

    final Log log;
    final Path folder;
    final Store store;
    final List<Node> nodes = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();

    /** Slots that each instance names. */
    int slots = 55;

    Site(Path record) throws IOException {
        log = new Log(record);
        folder = Files.createTempDirectory("beryldock-review");
        store = new Store();
        store.write("op/config", configuration("00000007", LISTS, "5", 2));
    }

    /** The operator's configuration: a safe route to the service and an unsafe one to the orders. */
    static String configuration(String version, String lists, String timeout, int attempts) {
        return "{\"version\":\"" + version + "\",\"routes\":{"
                + "\"r-lists\":{\"hostname\":\"hulo84.example\",\"pathPrefix\":\"/lists/\",\"type\":\"safe\",\"timeoutS\":"
                + timeout + ",\"targetLatencyS\":1.5,\"priority\":2,\"service\":\"" + lists + "\",\"attempts\":2},"
                + "\"r-orders\":{\"hostname\":\"hulo84.example\",\"pathPrefix\":\"/orders/\",\"type\":\"unsafe\",\"timeoutS\":"
                + timeout + ",\"targetLatencyS\":1.5,\"priority\":0,\"service\":\"" + ORDERS + "\",\"attempts\":" + attempts + "}},"
                + "\"services\":{" + service(LISTS) + "," + service(ORDERS) + "},"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":430,\"protocol\":\"h1\",\"tls\":false}";
    }

    Node node(String zone, String service) throws IOException {
        Node node = new Node("sidecar-" + zone + "-" + (nodes.size() + 1), zone, service, store.port(), folder, log);
        nodes.add(node);
        return node;
    }

    Instance instance(Node node) throws IOException {
        Instance instance = new Instance("i-" + (1000 + instances.size()), node, slots, log);
        instances.add(instance);
        return instance;
    }

    /** Starts two nodes with instances of the lists and one with an instance of the orders; waits until all serve. */
    void start() throws IOException, InterruptedException {
        node("gent-a", ORDERS);
        node("gent-b", LISTS);
        node("gent-c", LISTS);
        startAll();
    }

    void startAll() throws IOException, InterruptedException {
        for (Node node : nodes) {
            node.start();
        }
        for (Node node : nodes) {
            node.awaitReady();
            instance(node);
        }
        Thread.sleep(6000);
    }

    /** How often the request began to run, at all instances together. */
    int runs(String requestId) {
        return instances.stream()
                .mapToInt(instance -> instance.runs.containsKey(requestId) ? instance.runs.get(requestId).get() : 0)
                .sum();
    }

    @Override
    public void close() throws IOException {
        nodes.forEach(Node::close);
        for (Instance instance : instances) {
            instance.close();
        }
        store.close();
        log.close();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}

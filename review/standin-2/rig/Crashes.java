package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A request that crashes the instances that run it comes again and again, while the nodes are stopped and started in
 * turn or, with herd as third argument, all killed three times. Arguments: the root of the repository, the file of the
 * record. No case runs this program.
 */
public final class Crashes {

    private static final String HOST = "orders.example";
    private static final int NODES = 12;
    private static final double STABLE_WINDOW = 3;
    private static final double GAP = 2;
    private static final int ALLOWED = 3;

    private Crashes() {}

    /** A run of the request at an instance; all machines in question were in touch. */
    private record Run(double at) {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean herd = args.length > 2 && args[2].equals("herd");
        int result = 2;
        try (Record record = new Record(Path.of(args[1]));
                Site site = new Site(Path.of(args[0]), record)) {
            result = run(record, site, trouble, herd) ? 0 : 1;
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static boolean run(Record record, Site site, boolean trouble, boolean herd)
            throws IOException, InterruptedException {
        site.store()
                .write(
                        "op/config",
                        "{\"version\":\"00000007\",\"routes\":{\"r-orders\":{\"hostname\":\"" + HOST
                                + "\",\"pathPrefix\":\"/orders/\",\"type\":\"safe\",\"timeoutS\":5,\"targetLatencyS\":1.5,"
                                + "\"priority\":1,\"service\":\"orders\",\"attempts\":2}},\"services\":{\"orders\":"
                                + "{\"healthPath\":\"/health\",\"maxConnections\":430,\"protocol\":\"h1\",\"tls\":false}},"
                                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                                + "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
        List<Site.Node> nodes = new ArrayList<>();
        List<Instance> instances = new ArrayList<>();
        for (int n = 0; n < NODES; n++) {
            Site.Node node = site.node(name(n), zone(n), "127.0." + (n + 2) + ".1", "orders");
            node.start();
            nodes.add(node);
        }
        for (int n = 0; n < NODES; n++) {
            instances.add(new Instance(record, nodes.get(n), "i-orders-" + (n + 1), 55));
        }
        site.awaitReady();

        double[] startedAt = new double[NODES];
        List<Run> runs = new ArrayList<>();
        int[] counter = new int[1];
        double begin = record.seconds();
        Thread roll = new Thread(() -> {
            try {
                Thread.sleep(5000);
                for (int times = 0; trouble && herd && times < 3; times++) {
                    Arrays.fill(startedAt, Double.MAX_VALUE);
                    for (Site.Node node : nodes) {
                        node.kill();
                    }
                    for (Site.Node node : nodes) {
                        node.start();
                    }
                    for (int n = 0; n < NODES; n++) {
                        while (!nodes.get(n).isReady()) {
                            Thread.sleep(50);
                        }
                        startedAt[n] = record.seconds();
                    }
                    record.line("all nodes were killed and are ready");
                    Thread.sleep(12_000);
                }
                for (int n = 0; trouble && !herd && n < NODES; n++) {
                    double next = record.seconds() + GAP;
                    Site.Node node = nodes.get(n);
                    startedAt[n] = Double.MAX_VALUE;
                    node.terminate();
                    node.awaitEnd(6);
                    node.start();
                    while (!node.isReady()) {
                        Thread.sleep(50);
                    }
                    startedAt[n] = record.seconds();
                    record.line("node %s is ready", node.name);
                    Thread.sleep((long) (Math.max(0, next - record.seconds()) * 1000));
                }
            } catch (IOException | InterruptedException e) {
                record.line("the nodes could not be stopped and started: %s", e);
            }
        });
        roll.setDaemon(true);
        roll.start();
        double end = begin + (trouble ? 95 : 30);
        while (retries(runs) <= ALLOWED && record.seconds() < end
                && (roll.isAlive() || !trouble || record.seconds() - max(startedAt) < 8)) {
            for (int n = 0; n < NODES; n++) {
                if (record.seconds() - startedAt[n] < STABLE_WINDOW + 0.2 || !nodes.get(n).isRunning()) {
                    continue;
                }
                String id = "x" + counter[0]++;
                int before = total(instances);
                double at = record.seconds();
                try (Client client = new Client(record, id, Site.address(nodes.get(n).requests), 0)) {
                    client.send("GET", HOST, "/orders/bad?crash=1", id, 3000, "", new byte[0]);
                    client.readAll(1);
                } catch (IOException e) {
                    record.line("client %s: %s", id, e.getMessage());
                }
                for (int i = before; i < total(instances); i++) {
                    runs.add(new Run(at));
                    record.line("%s, at %s, has crashed an instance: %d in all", id, nodes.get(n).name, runs.size());
                }
            }
            Thread.sleep(100);
        }
        long retries = retries(runs);
        record.say(
                "of %d requests, %d crashed an instance; %d of these came later than %.0f s after the third crash",
                counter[0], runs.size(), retries, STABLE_WINDOW);
        for (Instance instance : instances) {
            instance.close();
        }
        return retries <= ALLOWED;
    }

    /** Runs later than the window after the third one. */
    private static long retries(List<Run> runs) {
        return runs.size() < 3
                ? 0
                : runs.stream()
                        .filter(run -> run.at() > runs.get(2).at() + STABLE_WINDOW)
                        .count();
    }

    private static String zone(int n) {
        return "gent-" + "abc".charAt(n % 3);
    }

    private static String name(int n) {
        return "sidecar-" + zone(n) + "-" + (n / 3 + 1);
    }

    private static double max(double[] values) {
        double max = 0;
        for (double value : values) {
            max = Math.max(max, value);
        }
        return max;
    }

    private static int total(List<Instance> instances) {
        return instances.stream().mapToInt(Instance::totalRuns).sum();
    }
}

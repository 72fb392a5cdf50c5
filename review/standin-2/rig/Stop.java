package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients have one download each under way, over connections with the segments of an Ethernet, while their node is stopped.
 * Arguments: the root of the repository, the file of the record.
 */
public final class Stop {

    private static final String HOST = "scans.example";
    private static final int CLIENTS = 10;
    private static final int BYTES = 900_000;
    private static final int WORK_MILLIS = 700;

    private Stop() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(args[1]));
                Site site = new Site(Path.of(args[0]), record)) {
            result = run(record, site, trouble) ? 0 : 1;
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static String service(String name) {
        return "\"" + name
                + "\":{\"healthPath\":\"/health\",\"maxConnections\":430,\"protocol\":\"h1\",\"tls\":false}";
    }

    private static boolean run(Record record, Site site, boolean trouble) throws IOException, InterruptedException {
        site.store()
                .write(
                        "op/config",
                        "{\"version\":\"00000007\",\"routes\":{\"r-scans\":{\"hostname\":\"" + HOST
                                + "\",\"pathPrefix\":\"/scans/\",\"type\":\"download\",\"timeoutS\":10,\"targetLatencyS\":4,"
                                + "\"priority\":1,\"service\":\"scans\",\"attempts\":2}},\"services\":{" + service("scans")
                                + "," + service("lists") + "},\"limits\":{\"maxHeaderBytes\":16384,"
                                + "\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
        Site.Node entry = site.node("sidecar-gent-a-1", "gent-a", "127.0.2.1", "lists");
        Site.Node other = site.node("sidecar-gent-a-2", "gent-a", "127.0.3.1", "scans");
        entry.start();
        other.start();
        Instance lists = new Instance(record, entry, "i-lists-1", 55);
        Instance scans = new Instance(record, other, "i-scans-1", 55);
        site.awaitReady();

        List<Client> clients = new ArrayList<>();
        List<Thread> readers = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Client client = new Client(record, "c" + c, Site.address(entry.requests), 0, Segments.ETHERNET);
            String path = "/scans/" + c + "?ms=" + WORK_MILLIS + "&bytes=" + BYTES;
            client.send("GET", HOST, path, "c" + c, 10_000, "", new byte[0]);
            Thread reader = new Thread(() -> client.readAll(1));
            reader.start();
            clients.add(client);
            readers.add(reader);
        }
        Thread.sleep(200);
        record.line("the instance is at work on %d requests and has run %d", scans.working(), scans.totalRuns());
        if (trouble) {
            entry.terminate();
            entry.awaitEnd(6);
        }
        for (Thread reader : readers) {
            reader.join(20_000);
        }
        int lost = 0;
        for (Client client : clients) {
            for (String id : client.unanswered()) {
                lost += scans.runs(id) > 0 ? 1 : 0;
                record.line("%s has no complete answer; the instance has run it %d times", id, scans.runs(id));
            }
            client.close();
        }
        record.say(
                "of %d requests, %d were run by the instance and their connections ended without a complete answer",
                CLIENTS, lost);
        lists.close();
        scans.close();
        return lost == 0;
    }
}

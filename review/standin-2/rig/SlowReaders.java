package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients read large answers slowly, over connections with the segments of an Ethernet, while their node is stopped (exit) or
 * counts the connection as idle (idle, which no case runs). Arguments: the root of the repository, the file of the record, the
 * mode.
 */
public final class SlowReaders {

    private static final int CLIENTS = 6;
    private static final int REQUESTS = 3;
    private static final int BYTES = 900_000;
    private static final double SLOW = 290_000;
    private static final String HOST = "scans.example";

    private SlowReaders() {}

    public static void main(String[] args) throws Exception {
        String mode = args[2];
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(args[1]));
                Site site = new Site(Path.of(args[0]), record)) {
            result = run(record, site, mode, trouble) ? 0 : 1;
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static boolean run(Record record, Site site, String mode, boolean trouble)
            throws IOException, InterruptedException {
        int idle = mode.equals("idle") ? 5 : 15;
        site.store()
                .write(
                        "op/config",
                        "{\"version\":\"00000007\",\"routes\":{\"r-scans\":{\"hostname\":\"" + HOST
                                + "\",\"pathPrefix\":\"/scans/\",\"type\":\"download\",\"timeoutS\":10,\"targetLatencyS\":4,"
                                + "\"priority\":1,\"service\":\"scans\",\"attempts\":2}},\"services\":{\"scans\":"
                                + "{\"healthPath\":\"/health\",\"maxConnections\":430,\"protocol\":\"h1\",\"tls\":false},"
                                + "\"lists\":{\"healthPath\":\"/health\",\"maxConnections\":430,\"protocol\":\"h1\","
                                + "\"tls\":false}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                                + "\"headerTimeoutS\":3,\"idleTimeoutS\":" + idle + "}}");
        Site.Node entry = site.node("sidecar-gent-a-1", "gent-a", "127.0.2.1", "lists");
        Site.Node other = site.node("sidecar-gent-a-2", "gent-a", "127.0.3.1", "scans");
        entry.start();
        other.start();
        Instance lists = new Instance(record, entry, "i-lists-1", 55);
        Instance scans = new Instance(record, other, "i-scans-1", 55);
        site.awaitReady();

        double rate = mode.equals("exit") || trouble ? SLOW : 0;
        List<Client> clients = new ArrayList<>();
        List<Thread> readers = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Client client = new Client(record, "c" + c, Site.address(entry.requests), rate, Segments.ETHERNET);
            clients.add(client);
            for (int r = 0; r < REQUESTS; r++) {
                client.send(
                        "GET",
                        HOST,
                        "/scans/" + c + "/" + r + "?ms=" + (50 + 20 * r) + "&bytes=" + BYTES,
                        "c" + c + "r" + r,
                        10_000,
                        "",
                        new byte[0]);
            }
            Thread reader = new Thread(() -> client.readAll(REQUESTS));
            reader.start();
            readers.add(reader);
        }
        if (mode.equals("exit")) {
            for (int i = 0; i < 200 && scans.working() + clients.size() * REQUESTS - answered(clients, scans) > 0; i++) {
                Thread.sleep(10);
            }
            Thread.sleep(1200);
            record.line("the instance has answered %d requests", answered(clients, scans));
            if (trouble) {
                entry.terminate();
                entry.awaitEnd(6);
            }
        }
        for (Thread reader : readers) {
            reader.join(20_000);
        }
        int lost = 0;
        int wrong = 0;
        int failed = 0;
        for (Client client : clients) {
            for (String id : client.unanswered()) {
                boolean ran = scans.runs(id) > 0;
                record.line("%s has no complete answer; the instance has run it %d times", id, scans.runs(id));
                lost += ran ? 1 : 0;
            }
            wrong += client.wrong().size();
            failed += client.failed().size();
            client.close();
        }
        record.say(
                "%s: of %d requests, %d were run by the instance and their connections ended without a complete answer;"
                        + " %d wrong successes, %d failures",
                mode, CLIENTS * REQUESTS, lost, wrong, failed);
        lists.close();
        scans.close();
        return mode.equals("exit") ? lost == 0 : lost <= 3;
    }

    private static int answered(List<Client> clients, Instance instance) {
        return (int) clients.stream()
                .flatMap(client -> client.sent().stream())
                .filter(instance::hasAnswered)
                .count();
    }
}

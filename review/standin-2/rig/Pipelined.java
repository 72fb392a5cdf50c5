package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients send four small safe requests ahead on a connection, and their node is stopped while an instance works on them.
 * Arguments: the root of the repository, the file of the record. No case runs this program.
 */
public final class Pipelined {

    private static final String HOST = "lists.example";
    private static final int CLIENTS = 5;
    private static final int[] WORK = {300, 600, 900, 1200};

    private Pipelined() {}

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
                        "{\"version\":\"00000007\",\"routes\":{\"r-search\":{\"hostname\":\"" + HOST
                                + "\",\"pathPrefix\":\"/search/\",\"type\":\"safe\",\"timeoutS\":3,\"targetLatencyS\":0.8,"
                                + "\"priority\":1,\"service\":\"catalogue\",\"attempts\":2}},\"services\":{"
                                + service("catalogue") + "," + service("lists") + "},\"limits\":{\"maxHeaderBytes\":16384,"
                                + "\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
        Site.Node entry = site.node("sidecar-gent-a-1", "gent-a", "127.0.2.1", "lists");
        Site.Node other = site.node("sidecar-gent-a-2", "gent-a", "127.0.3.1", "catalogue");
        entry.start();
        other.start();
        Instance lists = new Instance(record, entry, "i-lists-1", 55);
        Instance catalogue = new Instance(record, other, "i-catalogue-1", 55);
        site.awaitReady();

        List<Client> clients = new ArrayList<>();
        List<Thread> readers = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Client client = new Client(record, "c" + c, Site.address(entry.requests), 0);
            for (int r = 0; r < WORK.length; r++) {
                String path = "/search/" + c + "/" + r + "?ms=" + WORK[r] + "&bytes=400";
                client.send("GET", HOST, path, "c" + c + "r" + r, 3000, "", new byte[0]);
            }
            Thread reader = new Thread(() -> client.readAll(WORK.length));
            reader.start();
            clients.add(client);
            readers.add(reader);
        }
        for (int i = 0; i < 100 && catalogue.totalRuns() < CLIENTS * WORK.length; i++) {
            Thread.sleep(2);
        }
        record.line("the instance is at work on %d requests", catalogue.working());
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
                lost += catalogue.runs(id) > 0 ? 1 : 0;
                record.line("%s has no answer; the instance has run it %d times", id, catalogue.runs(id));
            }
        }
        record.say(
                "of %d requests, %d were run by the instance and their connections ended without an answer",
                CLIENTS * WORK.length, lost);
        lists.close();
        catalogue.close();
        return lost == 0;
    }
}

package rig;

import java.io.IOException;
import java.nio.file.Path;

/**
 * An instance says in its answers that it is leaving; then its node is killed and started again. Arguments: the root of the
 * repository, the file of the record. No case runs this program.
 */
public final class Leaving {

    private static final String HOST = "scans.example";

    private Leaving() {}

    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(args[1]));
                Site site = new Site(Path.of(args[0]), record)) {
            result = run(record, site, !"0".equals(System.getenv("TROUBLE"))) ? 0 : 1;
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
                                + "\",\"pathPrefix\":\"/scans/\",\"type\":\"safe\",\"timeoutS\":5,\"targetLatencyS\":1.5,"
                                + "\"priority\":1,\"service\":\"scans\",\"attempts\":2}},\"services\":{"
                                + service("scans") + "," + service("lists") + "},\"limits\":{\"maxHeaderBytes\":16384,"
                                + "\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
        Site.Node entry = site.node("sidecar-gent-a-1", "gent-a", "127.0.2.1", "lists");
        Site.Node other = site.node("sidecar-gent-a-2", "gent-a", "127.0.3.1", "scans");
        entry.start();
        other.start();
        Instance lists = new Instance(record, entry, "i-lists-1", 55);
        Instance scans = new Instance(record, other, "i-scans-1", 55);
        site.awaitReady();
        send(record, entry, scans, "before");
        scans.sayLeaving();
        send(record, entry, scans, "told");
        double told = record.seconds();
        Thread.sleep(500);
        if (trouble) {
            other.kill();
            Thread.sleep(300);
            other.start();
        }
        while (record.seconds() - told < 2.1) {
            Thread.sleep(20);
        }
        int reached = 0;
        for (int i = 0; i < 100; i++) {
            send(record, entry, scans, "after" + i);
            reached += scans.runs("after" + i);
            Thread.sleep(50);
        }
        record.say("%d of 100 requests reached the instance later than 2 s after an answer had said that it leaves", reached);
        lists.close();
        scans.close();
        return reached == 0;
    }

    private static void send(Record record, Site.Node entry, Instance scans, String id)
            throws IOException, InterruptedException {
        try (Client client = new Client(record, id, Site.address(entry.requests), 0)) {
            client.send("GET", HOST, "/scans/" + id + "?ms=20&bytes=400", id, 3000, "", new byte[0]);
            client.readAll(1);
        }
        Thread.sleep(50);
    }
}

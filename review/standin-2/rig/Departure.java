package rig;

import java.io.IOException;
import java.nio.file.Path;

/**
 * An instance reports its end and gets the confirmation; a write of its node's record from before is done late, by the
 * store that has lost its answer, and the node is killed. Arguments: the root of the repository, the file of the record.
 */
public final class Departure {

    private static final String HOST = "scans.example";
    private static final double DRAIN_SECONDS = 2;

    private Departure() {}

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
                                + "\",\"pathPrefix\":\"/scans/\",\"type\":\"safe\",\"timeoutS\":5,\"targetLatencyS\":1.5,"
                                + "\"priority\":1,\"service\":\"scans\",\"attempts\":2}},\"services\":{"
                                + service("scans") + "," + service("lists") + "},\"limits\":{\"maxHeaderBytes\":16384,"
                                + "\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
        Site.Node entry = site.node("sidecar-gent-a-1", "gent-a", "127.0.2.1", "lists");
        Site.Node other = site.node("sidecar-gent-a-2", "gent-a", "127.0.3.1", "scans");
        entry.start();
        other.start();
        Instance lists = new Instance(record, entry, "i-lists-1", 55);
        site.awaitReady();

        if (trouble && !"kill".equals(System.getenv("TROUBLE"))) {
            site.store().doLate("beryldock/nodes/sidecar-gent-a-2", 6);
        }
        Instance scans = new Instance(record, other, "i-scans-1", 55);
        double started = record.seconds();
        Thread.sleep(3500);
        send(record, entry, scans, "before");
        int late = scans.lastNumber();
        int status = scans.leave();
        double acknowledged = record.seconds();
        record.line("the instance has reported its end: %d", status);
        if (status != 200) {
            record.say("the end was not confirmed");
            return true;
        }
        Thread.sleep((long) Math.max(0, (started + 6.3 - record.seconds()) * 1000));
        if (trouble) {
            other.kill();
            Thread.sleep(300);
            other.start();
        }
        for (int i = 0; i < 100 && !other.isReady(); i++) {
            Thread.sleep(50);
        }
        Thread.sleep(300);
        record.line("a check-in from before the end, number %d, arrives late: %d", late, scans.checkIn(late));
        Thread.sleep(3200);
        int reached = 0;
        for (int i = 0; i < 10; i++) {
            send(record, entry, scans, "after" + i);
            if (scans.runs("after" + i) > 0) {
                reached++;
                record.line(
                        "after%d has reached the instance %.1f s after the confirmation",
                        i, record.seconds() - acknowledged);
            }
        }
        record.say("%d of 10 requests reached the instance later than %.0f s after its end was confirmed", reached, DRAIN_SECONDS);
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

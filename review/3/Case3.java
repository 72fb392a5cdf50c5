package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** An instance leaves, its node is killed and starts again, and a check-in from before the leaving arrives late. */
public final class Case3 {

    private static final int ORDERING = 4;
    private static final int READING = 20;

    /** Fewer than clients, so that the entry node needs both instances. */
    private static final int SLOTS = 16;

    private static final long DRAIN_MILLIS = 2000;
    private static final long STABLE_WINDOW_MILLIS = 3000;

    /** How late the check-in arrives, and how long the instance serves after its leaving was confirmed. */
    private static final long LATE_MILLIS = 2000;

    private static final long SERVES_MILLIS = 7000;

    private final Site site;
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private volatile boolean ended;

    private Case3(Site site) {
        this.site = site;
    }

    public static void main(String[] args) {
        int result = 2;
        try (Site site = new Site(Path.of(args[0], "record.txt"))) {
            result = new Case3(site).run(!"0".equals(System.getenv("TROUBLE")));
            site.log.add("result " + result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run(boolean trouble) throws Exception {
        site.store.write("op/config", Site.configuration("00000009", Site.ORDERS, "5", 2));
        site.slots = SLOTS;
        site.node("gent-a", Site.LISTS);
        site.node("gent-b", Site.ORDERS);
        site.node("gent-c", Site.ORDERS);
        site.startAll();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDERING + READING; i++) {
            int number = i;
            Thread client = new Thread(() -> ask(number));
            client.start();
            clients.add(client);
        }
        Thread.sleep(4000);
        Node node = site.nodes.get(1);
        Instance leaving = site.instances.get(1);
        // Numbered before the leaving; it arrives late.
        int late = leaving.nextSequence();
        if (!leaving.leave()) {
            return 2;
        }
        long confirmed = site.log.millis();
        site.log.add("the leaving of " + leaving.id + " is confirmed by node " + node.id);
        long started = confirmed;
        if (trouble) {
            Thread.sleep(200);
            node.signal("KILL");
            Thread.sleep(500);
            node.start();
            started = site.log.millis();
            node.awaitReady();
        }
        sleepUntil(confirmed + LATE_MILLIS);
        leaving.checkIn("ready", late);
        sleepUntil(confirmed + SERVES_MILLIS);
        leaving.exit();
        Thread.sleep(1500);
        ended = true;
        for (Thread client : clients) {
            client.join();
        }
        long from = Math.max(confirmed + DRAIN_MILLIS, trouble ? started + STABLE_WINDOW_MILLIS : 0);
        return judge(leaving, confirmed, from);
    }

    private void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - site.log.millis()));
    }

    /** Sends one request after the other, each on a new connection, to the node of another machine. */
    private void ask(int number) {
        boolean orders = number < ORDERING;
        try {
            for (int i = 0; !ended; i++) {
                String id = (orders ? "order-" : "view-") + number + "-" + i;
                try (Client client = new Client(site.nodes.get(0).requests, site.log)) {
                    client.timeout(8000);
                    if (orders) {
                        client.send("POST", "/orders/takes/300/bytes/100", id, Http.bytes("title " + id), 5000);
                    } else {
                        client.send("GET", "/lists/takes/100/bytes/100", id, new byte[0], 5000);
                    }
                    Http.Message answer = client.read();
                    statuses.put(id, answer == null ? 0 : answer.status());
                }
                Thread.sleep(30);
            }
        } catch (Exception e) {
            site.log.add("client " + number + " ended: " + e);
        }
    }

    /** Counts arrivals after {@code drainS} at a time when both nodes on the way are in touch. */
    private int judge(Instance leaving, long confirmed, long from) {
        int reached = 0;
        for (Map.Entry<String, Long> arrival : leaving.arrivals.entrySet()) {
            if (arrival.getValue() > from) {
                reached++;
                site.log.add("DRAIN: " + arrival.getKey() + " reached " + leaving.id + " "
                        + (arrival.getValue() - confirmed) + " ms after the confirmation of its leaving");
            }
        }
        for (String id : leaving.lost) {
            site.log.add(id + " was at work at " + leaving.id + " when it ended; its client got " + statuses.get(id));
        }
        site.log.add(reached + " requests reached the leaving instance later than " + (from - confirmed)
                + " ms after the confirmation, " + leaving.lost.size() + " were lost with it");
        return reached > 0 ? 1 : 0;
    }
}

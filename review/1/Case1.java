package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Orders at three instances, one of which refuses some of them and sends a few extra answers late. With
 * {@code TROUBLE=refusals} it refuses and sends no extra answers.
 */
public final class Case1 {

    private static final double REFUSED_SHARE = 0.2;
    private static final double EXTRA_SHARE = 0.03;
    private static final int WINDOWS = 2;
    private static final long USUAL_MILLIS = 13_000;
    private static final long TROUBLE_MILLIS = 4_900;
    private static final int CLIENTS = 6;

    private final Site site;
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private volatile boolean ended;

    private Case1(Site site) {
        this.site = site;
    }

    public static void main(String[] args) {
        int result = 2;
        try (Site site = new Site(Path.of(args[0], "record.txt"))) {
            String trouble = System.getenv().getOrDefault("TROUBLE", "1");
            result = new Case1(site).run(!"0".equals(trouble), !"refusals".equals(trouble));
            site.log.add("result " + result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run(boolean trouble, boolean extras) throws Exception {
        site.store.write("op/config", Site.configuration("00000009", Site.LISTS, "5", 1));
        for (String zone : List.of("gent-a", "gent-b", "gent-c")) {
            site.node(zone, Site.ORDERS);
        }
        site.startAll();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> order(number));
            client.start();
            clients.add(client);
        }
        for (int i = 0; i < WINDOWS; i++) {
            Thread.sleep(USUAL_MILLIS);
            if (trouble) {
                disturb(site.instances.get(1), extras);
            } else {
                Thread.sleep(TROUBLE_MILLIS);
            }
        }
        ended = true;
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(1000);
        return judge();
    }

    /** Garbles answers and refuses requests for a while, within the doses of the site file. */
    private void disturb(Instance faulty, boolean extras) throws InterruptedException {
        faulty.answers.set(0);
        faulty.refusals.set(0);
        faulty.extras.set(0);
        faulty.extraShare = extras ? EXTRA_SHARE : 0;
        faulty.refusedShare = REFUSED_SHARE;
        site.log.add("trouble begins at " + faulty.id);
        Thread.sleep(TROUBLE_MILLIS);
        faulty.refusedShare = 0;
        faulty.extraShare = 0;
        site.log.add("trouble ends at " + faulty.id + ": " + faulty.answers + " answers, " + faulty.refusals
                + " refusals, " + faulty.extras + " extra answers");
    }

    /** Sends one order after the other on a kept connection, as a sound client does. */
    private void order(int number) {
        try (Client client = new Client(site.nodes.get(number % site.nodes.size()).requests, site.log)) {
            client.timeout(8000);
            for (int i = 0; !ended; i++) {
                String id = "order-" + number + "-" + i;
                client.send("POST", "/orders/takes/20/bytes/400", id, Http.bytes("title " + id), 5000);
                Http.Message answer = client.read();
                if (answer == null) {
                    return;
                }
                statuses.put(id, answer.status());
                Thread.sleep(15);
            }
        } catch (Exception e) {
            site.log.add("client " + number + " ended: " + e);
        }
    }

    private int judge() {
        int twice = 0;
        int refusedAndRun = 0;
        for (Map.Entry<String, Integer> order : statuses.entrySet()) {
            int runs = site.runs(order.getKey());
            boolean refused = order.getValue() == 503 || order.getValue() == 429;
            if (runs > 1) {
                twice++;
                site.log.add("TWICE: " + order.getKey() + " ran " + runs + " times");
            }
            if (refused && runs > 0) {
                refusedAndRun++;
                site.log.add("REFUSED: " + order.getKey() + " was answered " + order.getValue() + " and ran");
            }
        }
        site.log.add(statuses.size() + " orders: " + twice + " ran twice, " + refusedAndRun + " were refused and ran");
        return twice + refusedAndRun > 0 ? 1 : 0;
    }
}

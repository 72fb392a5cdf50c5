package io.beryldock.cli;

import com.google.common.collect.ImmutableList;
import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import io.beryldock.peer.PeerStartException;
import io.beryldock.platform.StandinPlatform;
import io.beryldock.settings.SettingsException;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Measures what a request costs the nodes that it passes, and what they cost at rest: processor time and allocated
 * bytes, at the start and later.
 *
 * <p>Two nodes, their store, target and client share one process; the client sends one request after the other. The
 * time of the client's and the stand-ins' threads is taken off. What is left is the nodes', with compiler and
 * collector.
 */
public final class PathCostSubcommand implements Subcommand {

    /** Requests after which the cost since the step before is told: interpreted, half compiled, compiled. */
    private static final ImmutableList<Integer> STEPS = ImmutableList.of(100, 1_000, 3_000, 10_000);

    /** Long enough for the slowest timers of a node to come several times. */
    private static final int REST_SECONDS = 5;

    private static final int NODES = 2;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_KILOBYTE = 1024;

    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final OperatingSystemMXBean process = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    /** Processor time and allocated bytes so far. */
    private record Spent(long nanos, long bytes) {}

    @Override
    public int run(PrintStream out, PrintStream err) throws InterruptedException {
        try (StandinPlatform platform = StandinPlatform.start()) {
            Spent before = spent();
            platform.startNodes();
            platform.request(1);
            Spent last = spent();
            out.printf(Locale.ROOT, "start and first request: %.0f ms%n", millis(before, last));
            last = rest(out, last);
            int done = 1;
            for (int step : STEPS) {
                int number = step - done;
                platform.request(number);
                Spent now = spent();
                double kilobytes = (now.bytes() - last.bytes()) / BYTES_PER_KILOBYTE / number;
                out.printf(
                        Locale.ROOT,
                        "requests %d to %d: %.3f ms and %.1f KB a request%n",
                        done + 1,
                        step,
                        millis(last, now) / number,
                        kilobytes);
                last = now;
                done = step;
            }
            return OK;
        } catch (IOException | SettingsException | PeerStartException e) {
            err.println("beryldock path-cost: " + e.getMessage());
            return FAILED;
        }
    }

    /** The nodes with nothing to do. */
    private Spent rest(PrintStream out, Spent before) throws InterruptedException {
        TimeUnit.SECONDS.sleep(REST_SECONDS);
        Spent after = spent();
        out.printf(
                Locale.ROOT,
                "at rest: %.2f ms and %.1f KB a node and second%n",
                millis(before, after) / NODES / REST_SECONDS,
                (after.bytes() - before.bytes()) / BYTES_PER_KILOBYTE / NODES / REST_SECONDS);
        return after;
    }

    private static double millis(Spent from, Spent to) {
        return (to.nanos() - from.nanos()) / NANOS_PER_MILLI;
    }

    private Spent spent() {
        long nanos = process.getProcessCpuTime();
        long bytes = 0;
        for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (info == null) {
                continue;
            }
            if (isOfNode(info)) {
                bytes += threads.getThreadAllocatedBytes(info.getThreadId());
            } else {
                nanos -= threads.getThreadCpuTime(info.getThreadId());
            }
        }
        return new Spent(nanos, bytes);
    }

    private static boolean isOfNode(ThreadInfo info) {
        return !info.getThreadName().startsWith(StandinPlatform.THREAD_NAME)
                && !info.getThreadName().equals("main");
    }
}

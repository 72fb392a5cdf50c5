package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.Incarnation;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** A simulated service: its instances, each with a gate and a target. */
final class SimService {

    private static final Duration HOP = Duration.ofMillis(1);

    final ServiceName name;
    final List<Instance> instances = new ArrayList<>();
    private final ManualTimerService timers;
    private final RandomGenerator random;
    private final SimService serviceBelow;
    private final int calls;
    private final RequestIds ids;

    SimService(String name, ManualTimerService timers, RandomGenerator random, SimService serviceBelow, int calls) {
        this.calls = calls;
        this.name = ServiceName.of(name);
        this.timers = timers;
        this.random = random;
        this.serviceBelow = serviceBelow;
        this.ids = RequestIds.of(Incarnation.random(random));
    }

    void add(TargetGate gate, SimTarget target) {
        instances.add(new Instance(gate, target));
    }

    /** A root request on its way through the services, which sums up the slot time that it uses in all of them. */
    static final class RootRequest {
        final int rank;
        final int hash;
        final long deadline;
        double slotNanos;
        boolean ended;
        private int serving;
        private double startSum;

        RootRequest(int rank, int hash, long deadline) {
            this.rank = rank;
            this.hash = hash;
            this.deadline = deadline;
        }

        void start(long now) {
            serving++;
            startSum += now;
        }

        void end(long started, long now) {
            serving--;
            startSum -= started;
            slotNanos += now - started;
        }

        /** Returns the slot time used so far, including that of the targets that still execute the request. */
        long sunkNanos(long now) {
            return (long) (slotNanos + (double) serving * now - startSum);
        }
    }

    /** Outcome of a call and the levels reported with it. */
    record Reply(boolean ok, boolean notRun, List<ServiceLevel> levels) {}

    /**
     * Calls the instance with fewer outstanding calls out of two random ones; after a refusal it tries one other
     * instance.
     */
    void call(RootRequest rootRequest, Consumer<Reply> consumer) {
        Instance first = choose(null);
        first.call(rootRequest, reply -> {
            if (reply.notRun() && instances.size() > 1 && !rootRequest.ended) {
                choose(first).call(rootRequest, consumer);
            } else {
                consumer.accept(reply);
            }
        });
    }

    private Instance choose(Instance except) {
        Instance a = any(except);
        Instance b = any(except);
        return a.outstanding <= b.outstanding ? a : b;
    }

    private Instance any(Instance except) {
        Instance chosen = instances.get(random.nextInt(instances.size()));
        return chosen == except ? any(except) : chosen;
    }

    /** A target and the gate at its node. */
    final class Instance {
        final TargetGate gate;
        final SimTarget target;
        int outstanding;

        Instance(TargetGate gate, SimTarget target) {
            this.gate = gate;
            this.target = target;
        }

        void call(RootRequest rootRequest, Consumer<Reply> consumer) {
            outstanding++;
            Consumer<Reply> once = new Consumer<>() {
                private boolean replied;

                @Override
                public void accept(Reply reply) {
                    if (!replied) {
                        replied = true;
                        outstanding--;
                        timers.after(HOP, () -> consumer.accept(reply));
                    }
                }
            };
            timers.after(HOP, () -> submit(rootRequest, once));
        }

        private void submit(RootRequest rootRequest, Consumer<Reply> consumer) {
            long now = timers.ticker().nanos();
            long left = rootRequest.deadline - now;
            GateRequest request =
                    new GateRequest(ids.next(), rootRequest.rank, rootRequest.hash, rootRequest.sunkNanos(now), left);
            GateHandle handle = gate.submit(request, new GateListener() {
                @Override
                public void admitted(Permit permit) {
                    if (target.refuses()) {
                        permit.release(Completion.REFUSED_BY_TARGET);
                        consumer.accept(new Reply(false, true, ownLevel()));
                    } else {
                        target.acquire(() -> serve(rootRequest, permit, consumer));
                    }
                }

                @Override
                public void refused(Reason reason, long retryAfterMillis) {
                    consumer.accept(new Reply(false, true, ownLevel()));
                }
            });
            timers.after(Duration.ofNanos(Math.max(0, left)), () -> {
                handle.cancel();
                consumer.accept(new Reply(false, false, ownLevel()));
            });
        }

        private void serve(RootRequest rootRequest, Permit permit, Consumer<Reply> consumer) {
            long start = timers.ticker().nanos();
            LevelReport received = LevelReport.create();
            rootRequest.start(start);
            Consumer<Boolean> end = ok -> {
                rootRequest.end(start, timers.ticker().nanos());
                target.releaseSlot();
                permit.release(ok ? Completion.SUCCEEDED : Completion.FAILED);
                consumer.accept(new Reply(ok, false, received.with(new ServiceLevel(name, gate.level()))));
            };
            if (serviceBelow == null) {
                target.work(1, () -> end.accept(true));
            } else {
                target.work(0.5, () -> callServiceBelow(rootRequest, received, calls, end));
            }
        }

        private void callServiceBelow(RootRequest rootRequest, LevelReport received, int left, Consumer<Boolean> end) {
            if (rootRequest.ended) {
                end.accept(false);
                return;
            }
            serviceBelow.call(rootRequest, reply -> {
                received.add(serviceBelow.name, ImmutableList.copyOf(reply.levels()));
                if (reply.ok() && left > 1) {
                    callServiceBelow(rootRequest, received, left - 1, end);
                } else if (reply.ok()) {
                    target.work(0.5, () -> end.accept(true));
                } else {
                    end.accept(false);
                }
            });
        }

        private List<ServiceLevel> ownLevel() {
            return List.of(new ServiceLevel(name, gate.level()));
        }
    }
}

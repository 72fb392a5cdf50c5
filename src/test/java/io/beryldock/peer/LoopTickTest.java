package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import io.beryldock.eventloop.EventLoops;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class LoopTickTest {

    /**
     * Guards against healthy connections that are abandoned after a handler has blocked its event loop. Without
     * coalescing, all ticks posted during the block would run in a row before the loop reads any bytes.
     */
    @Test
    void ticksPostedToABlockedLoopRunOnce() throws Exception {
        try (EventLoops loops = EventLoops.create(1)) {
            EventLoop loop = loops.next();
            CountDownLatch released = new CountDownLatch(1);
            loop.execute(() -> Uninterruptibles.awaitUninterruptibly(released));
            AtomicInteger runs = new AtomicInteger();
            LoopTick tick = new LoopTick(runs::incrementAndGet);
            for (int i = 0; i < 20; i++) {
                tick.post(loop);
            }
            released.countDown();
            loop.submit(() -> {}).sync();
            assertThat(runs).hasValue(1);
            tick.post(loop);
            loop.submit(() -> {}).sync();
            assertThat(runs).hasValue(2);
        }
    }
}

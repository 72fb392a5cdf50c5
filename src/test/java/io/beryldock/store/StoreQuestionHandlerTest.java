package io.beryldock.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.time.ManualTimerService;
import io.beryldock.time.Moment;
import io.beryldock.wire.StoreNotice;
import io.beryldock.wire.StorePart;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class StoreQuestionHandlerTest {

    private static final String PREFIX = "nodes/";

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final FakeRegistry.View view = registry.view();
    private final Moment.Source clock =
            () -> new Moment(timers.ticker().nanos(), timers.ticker().nanos() / 1_000_000);
    private final SharedFollower follower = new SharedFollower(
            PREFIX,
            Duration.ZERO,
            Duration.ofSeconds(1),
            entry -> true,
            new QuietOwner(),
            view,
            timers,
            clock,
            new Random(1));
    private final StoreQuestionHandler handler = new StoreQuestionHandler(Map.of(PREFIX, follower), clock, view.eras());

    private static final class QuietOwner implements SharedFollower.Owner {

        @Override
        public void onChanges(SharedFollower changed) {
            // There is no other node.
        }

        @Override
        public void onStore(boolean answered) {
            // Nothing depends on it here.
        }
    }

    private StorePart answer() {
        StoreNotice question = StoreNotice.newBuilder()
                .setQuestion(true)
                .addParts(StoreParts.part(PREFIX, StoreRevision.NONE))
                .build();
        return handler.answer(question, true).getParts(0);
    }

    @Test
    void checkIsPassedOnWithItsAge() {
        registry.write(PREFIX + "a", ByteString.copyFromUtf8("1"));
        follower.start();
        timers.advance(Duration.ofMillis(300));
        assertThat(answer().getCheckedAgeNanos())
                .isEqualTo(Duration.ofMillis(300).toNanos());
        assertThat(answer().getCheckedRevision()).isEqualTo(2);
    }

    /** Guards against a node that takes a check made before the store was restored for one of the restored store. */
    @Test
    void checkOfAnEarlierEraIsNotPassedOn() {
        registry.write(PREFIX + "a", ByteString.copyFromUtf8("1"));
        follower.start();
        timers.advance(Duration.ofMillis(300));
        StoreRevision restored = new StoreRevision(2, 1);
        follower.apply(StoreParts.part(PREFIX, restored).setWhole(true).build());
        assertThat(answer().getEra()).isEqualTo(2);
        assertThat(answer().hasCheckedAgeNanos()).isFalse();
    }
}

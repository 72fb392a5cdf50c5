package io.beryldock.soak;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** After all nodes were killed and started again, callers are served again within the bound. */
final class RecoveryCheck implements PromiseCheck {

    static final Duration BOUND = Duration.ofSeconds(15);

    private OptionalLong back = OptionalLong.empty();

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (back.isPresent() && event.at() - back.getAsLong() > BOUND.toNanos()) {
            broken.accept("no request was served within " + BOUND.toSeconds() + " s after all nodes were back");
            back = OptionalLong.empty();
        }
        if (event instanceof SoakEvent.AllBack all) {
            back = OptionalLong.of(all.at());
        } else if (event instanceof SoakEvent.Ended ended && ended.reply().isSuccess()) {
            back = OptionalLong.empty();
        }
    }

    /** Whether it is still open if the nodes serve again. */
    boolean isWaiting() {
        return back.isPresent();
    }
}

package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.NodeId;
import io.beryldock.call.StartNotice;
import io.beryldock.call.TargetLoad;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PeerNoticesTest {

    private static final NodeId NODE = NodeId.of("gent-a-lists-1");
    private static final StartNotice LIMITED = new StartNotice("i-1", 20, false);

    private final PeerNotices notices = new PeerNotices();

    private static TargetLoad load(Optional<StartNotice> notice) {
        return new TargetLoad(1, 10, 0, 0, 0, false, false, Integer.MAX_VALUE, notice);
    }

    @Test
    void newestNoticeOfANodeIsKeptUntilItReportsNone() {
        assertThat(notices.of(NODE)).isEmpty();
        notices.onLoad(NODE, load(Optional.of(LIMITED)));
        StartNotice lower = new StartNotice("i-1", 10, false);
        notices.onLoad(NODE, load(Optional.of(lower)));
        assertThat(notices.of(NODE)).contains(lower);
        notices.onLoad(NODE, load(Optional.empty()));
        assertThat(notices.of(NODE)).isEmpty();
    }

    /** Guards against memory that grows with the number of targets that have ever named something. */
    @Test
    void oldestNoticesAreDropped() {
        notices.onLoad(NODE, load(Optional.of(LIMITED)));
        for (int i = 0; i < 1_000; i++) {
            notices.onLoad(NodeId.of("n" + i), load(Optional.of(LIMITED)));
        }
        assertThat(notices.of(NODE)).isEmpty();
        assertThat(notices.of(NodeId.of("n0"))).contains(LIMITED);
    }
}

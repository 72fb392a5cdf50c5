package io.beryldock.nettyhttp;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class LargeBodiesTest {

    private final List<String> events = new ArrayList<>();
    private final LargeBodies bodies = new LargeBodies(2);

    private LargeBodies.Reader reader(String name) {
        LargeBodies.Reader reader = new LargeBodies.Reader() {
            @Override
            public void pause() {
                events.add("pause " + name);
            }

            @Override
            public void resume() {
                events.add("resume " + name);
            }
        };
        bodies.enter(reader);
        return reader;
    }

    /** Guards against a node whose memory is used up by many responses without end at once. */
    @Test
    void readersBeyondTheBoundWaitInTurn() {
        LargeBodies.Reader first = reader("first");
        LargeBodies.Reader second = reader("second");
        reader("third");
        reader("fourth");
        assertThat(events).containsExactly("pause third", "pause fourth");
        bodies.leave(second);
        bodies.leave(first);
        assertThat(events).containsExactly("pause third", "pause fourth", "resume third", "resume fourth");
    }

    @Test
    void readerThatLeavesWhileItWaitsTakesNoPlace() {
        LargeBodies.Reader first = reader("first");
        reader("second");
        LargeBodies.Reader third = reader("third");
        bodies.leave(third);
        bodies.leave(first);
        reader("fourth");
        assertThat(events).containsExactly("pause third");
    }

    @Test
    void enteringAgainChangesNothing() {
        LargeBodies.Reader first = reader("first");
        bodies.enter(first);
        reader("second");
        assertThat(events).isEmpty();
    }
}

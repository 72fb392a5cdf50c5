package io.beryldock.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TimelineHtmlWriterTest {

    @Test
    void pageIsSelfContained() throws IOException {
        String page = TimelineHtmlWriter.write(SeededTimeline.merged(SeededTimeline.run(41, 6, 40)));
        Files.writeString(Files.createDirectories(Path.of("target")).resolve("timeline.html"), page);
        assertThat(page).doesNotContain("src=", "<link", "http:", "https:", "@import", "url(");
        assertThat(page).contains("\"kind\":\"SHED_AT_DOOR\"").doesNotContain("/*EVENTS*/");
    }

    @Test
    void everyKindHasAColour() {
        String page = TimelineHtmlWriter.write(ImmutableList.of());
        for (EventKind kind : EventKind.values()) {
            assertThat(page).contains("'" + kind + "'");
        }
    }

    /** Guards against script injection: events contain paths chosen by callers, and an operator opens the page. */
    @Test
    void textOfCallersIsEscaped() {
        Event event = new Event(
                1,
                HlcTime.ofMillis(5),
                NodeId.of("n1"),
                DataCentre.of("gent-a"),
                EventKind.REQUEST_QUARANTINED,
                Optional.empty(),
                "/lists</script><script>alert(1)</script>",
                "<!--<script>",
                1);
        String page = TimelineHtmlWriter.write(ImmutableList.of(event));
        assertThat(page).doesNotContain("alert(1)</script>", "<!--<script>").contains("\\u003c/script>");
    }
}

package io.beryldock.timeline;

import com.google.common.base.Strings;
import java.util.Collection;

/** Writes events as text, one event per line. Stateless, thread safe. */
public final class TimelineTextWriter {

    private TimelineTextWriter() {}

    /**
     * Returns lines with time, data centre, node, kind, subject, count, detail and request; place and kind are aligned.
     */
    public static String write(Collection<Event> events) {
        int placeWidth =
                events.stream().mapToInt(event -> place(event).length()).max().orElse(0);
        int kindWidth = events.stream()
                .mapToInt(event -> event.kind().name().length())
                .max()
                .orElse(0);
        StringBuilder text = new StringBuilder();
        events.forEach(event -> text.append(line(event, placeWidth, kindWidth)).append('\n'));
        return text.toString();
    }

    private static String line(Event event, int placeWidth, int kindWidth) {
        String count = event.count() == 1 ? "" : " x" + event.count();
        String request = event.request().map(id -> " [" + id + "]").orElse("");
        String detail = event.detail().isEmpty() ? "" : ": " + event.detail();
        return event.time() + " " + Strings.padEnd(place(event), placeWidth, ' ') + " "
                + Strings.padEnd(event.kind().name(), kindWidth, ' ') + " " + event.subject() + count + detail
                + request;
    }

    private static String place(Event event) {
        return event.dataCentre() + "/" + event.node();
    }
}

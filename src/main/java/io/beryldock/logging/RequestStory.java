package io.beryldock.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Gathers, from the logs of several nodes, what was decided over one request and the calls beneath it.
 *
 * <p>Not thread safe. A chapter belongs to the story when it names the request, the root of one that belongs to it, or
 * a run of it: the innermost decision, where the cause is, comes last.
 */
public final class RequestStory {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** From where the caller sees it to where the cause is. */
    private static final ImmutableList<String> PLACES = ImmutableList.of("caller", "entry", "gate");

    private final List<Chapter> chapters = new ArrayList<>();
    private long leftOut;

    /** A decision, when and in whose log. Immutable. */
    public record Chapter(String log, long millis, DecisionLine line) {

        /** Whether it is about a call within the run of another. */
        public boolean isInner() {
            boolean beneath = !line.get(DecisionLine.PARENT).equals(line.get(DecisionLine.ROOT));
            return beneath || !line.get(DecisionLine.WITHIN).isEmpty();
        }

        private int place() {
            return PLACES.indexOf(line.get(DecisionLine.AT));
        }

        private Stream<String> names() {
            return Stream.of(DecisionLine.ASKED, DecisionLine.WITHIN, DecisionLine.ID, DecisionLine.ROOT)
                    .map(line::get)
                    .filter(name -> !name.isEmpty());
        }
    }

    /** Takes a line of a node's log; one that tells of no decision changes nothing. */
    public void read(String log, String text) {
        JsonNode entry;
        try {
            entry = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            // Beside our lines a log holds what the virtual machine writes, and a last line that was cut.
            return;
        }
        String message = entry.path("formattedMessage").asText("");
        Optional<DecisionLine> line = DecisionLine.parse(message);
        line.ifPresent(
                found -> chapters.add(new Chapter(log, entry.path("timestamp").asLong(), found)));
        leftOut += leftOut(message);
    }

    private static long leftOut(String message) {
        if (!message.startsWith(DecisionLog.LEFT_OUT)) {
            return 0;
        }
        int end = message.indexOf(';');
        return Long.parseLong(message.substring(DecisionLog.LEFT_OUT.length(), end));
    }

    /** Decisions that the nodes had no room to log. */
    public long leftOut() {
        return leftOut;
    }

    /** What was decided over the request, given by its caller's id or by ours, from outside in. */
    public ImmutableList<Chapter> of(String request) {
        ImmutableSet<Chapter> found = ImmutableSet.of();
        Set<String> names = new HashSet<>(Set.of(request));
        int before;
        do {
            before = names.size();
            found = naming(names);
            found.forEach(chapter -> chapter.names().forEach(names::add));
        } while (names.size() > before);
        return ImmutableList.sortedCopyOf(
                Comparator.comparing(Chapter::isInner)
                        .thenComparingInt(Chapter::place)
                        .thenComparingLong(Chapter::millis),
                found);
    }

    private ImmutableSet<Chapter> naming(Set<String> names) {
        return chapters.stream()
                .filter(chapter -> chapter.names().anyMatch(names::contains))
                .collect(ImmutableSet.toImmutableSet());
    }
}

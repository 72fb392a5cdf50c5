package io.beryldock.command;

import io.beryldock.call.Reason;
import io.beryldock.timeline.RefusalCount;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/** Turns counts of refusals into rows of {@code show shed}. Stateless, thread safe. */
final class RefusalTable {

    private RefusalTable() {}

    static QueryTable of(Collection<RefusalCount> counts, ShowStatement show) {
        Function<RefusalCount, String> group = group(show.groupingOrDefault());
        Map<String, Map<Reason, Long>> sums = new TreeMap<>();
        for (RefusalCount count : counts) {
            if (show.service().isPresent() && !show.service().get().value().equals(count.service())) {
                continue;
            }
            sums.computeIfAbsent(group.apply(count), name -> new TreeMap<>())
                    .merge(count.reason(), count.count(), Long::sum);
        }
        QueryTable.Builder table = QueryTable.builder(ShowColumns.shed(show.groupingOrDefault()));
        sums.forEach((name, reasons) ->
                reasons.forEach((reason, sum) -> table.row(name, reason.name(), sum, reason.message())));
        return table.build();
    }

    private static Function<RefusalCount, String> group(ShedGrouping grouping) {
        return switch (grouping) {
            case CLASS -> RefusalCount::priorityClass;
            case SERVICE -> RefusalCount::service;
            case CALLER -> RefusalCount::caller;
        };
    }
}

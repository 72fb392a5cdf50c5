package io.beryldock.node;

import io.beryldock.command.QueryTable;
import io.beryldock.command.ShowColumns;
import io.beryldock.configuration.ConfigurationKeeper;
import io.beryldock.forwarding.RetryTally;
import io.beryldock.quarantine.Quarantine;

/** Shows operators the node's records of retries, changes and quarantine. Thread safe. */
record NodeLedgers(RetryTally retryTally, ConfigurationKeeper configuration, Quarantine quarantineTable) {

    QueryTable retries() {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.RETRIES);
        retryTally
                .rows()
                .forEach((pair, counts) -> table.row(
                        pair.caller().value(),
                        pair.service().value(),
                        counts.firstTries(),
                        counts.granted(),
                        counts.refused()));
        return table.build();
    }

    QueryTable changes() {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.CHANGES);
        configuration
                .changes()
                .forEach(change -> table.row(
                        change.version(),
                        change.changeId(),
                        change.operator(),
                        change.at().toString(),
                        change.statement()));
        return table.build();
    }

    QueryTable quarantine() {
        return QueryTable.builder(ShowColumns.QUARANTINE).build();
    }
}

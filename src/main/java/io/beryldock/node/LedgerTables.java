package io.beryldock.node;

import io.beryldock.command.QueryTable;
import io.beryldock.command.ShowColumns;
import io.beryldock.forwarding.RetryTally;
import io.beryldock.quarantine.Quarantine;

/** Builds the operators' tables of retries and quarantined requests. Thread safe. */
record LedgerTables(RetryTally retryTally, Quarantine quarantineTable) {

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

    QueryTable quarantine() {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.QUARANTINE);
        quarantineTable
                .snapshot()
                .forEach(request -> table.row(
                        request.fingerprint().toString(),
                        null,
                        null,
                        request.crashes(),
                        request.verdict().name(),
                        request.remaining().toMillis()));
        return table.build();
    }
}

package io.beryldock.command;

import io.beryldock.configuration.ChangeRecord;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.Setting;
import java.util.Collection;

/** Turns the configuration and its last changes into rows. Stateless, thread safe. */
final class ConfigurationTable {

    private ConfigurationTable() {}

    static QueryTable settings(Configuration configuration) {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.CONFIGURATION);
        for (Setting setting : configuration.settings().values()) {
            table.row(setting.key().toString(), setting.text());
        }
        return table.build();
    }

    static QueryTable changes(Collection<ChangeRecord> changes) {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.CHANGES);
        for (ChangeRecord change : changes) {
            table.row(
                    change.version(),
                    change.changeId(),
                    change.operator(),
                    change.at().toString(),
                    change.statement());
        }
        return table.build();
    }
}

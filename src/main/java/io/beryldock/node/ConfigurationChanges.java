package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.command.ChangeReport;
import io.beryldock.command.ChangeRequest;
import io.beryldock.command.ChangeStatement;
import io.beryldock.command.ConfigurationChanger;
import io.beryldock.configuration.ChangeResult;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationChange;
import io.beryldock.configuration.ConfigurationKeeper;
import io.beryldock.configuration.ConfigurationWriter;
import io.beryldock.configuration.RetrySetting;
import io.beryldock.configuration.Route;
import io.beryldock.configuration.SettingKey;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Turns operators' statements into changes of the configuration, and what became of them into reports. Thread safe. */
final class ConfigurationChanges implements ConfigurationChanger {

    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(3);
    private static final int DEFAULT_RETRIES = 3;
    private static final double DEFAULT_SHARE = 0.1;
    private static final ImmutableSet<String> SAFE_METHODS = ImmutableSet.of("GET", "HEAD", "OPTIONS");

    private final ConfigurationWriter writer;
    private final ConfigurationKeeper keeper;

    ConfigurationChanges(ConfigurationWriter writer, ConfigurationKeeper keeper) {
        this.writer = writer;
        this.keeper = keeper;
    }

    @Override
    public CompletableFuture<ChangeReport> change(ChangeRequest request) {
        Configuration base = keeper.current();
        ConfigurationChange change = translate(request.statement(), base);
        CompletableFuture<ChangeResult> result = request.dryRun()
                ? writer.dryRun(change, base.version())
                : writer.submit(change, request.operator(), base.version());
        return result.handle((ended, failure) -> failure == null
                ? report(change, ended)
                : new ChangeReport.Unknown("", "look at show changes: " + failure.getMessage()));
    }

    private static ConfigurationChange translate(ChangeStatement.OfConfiguration statement, Configuration base) {
        if (statement instanceof ChangeStatement.SetClass set) {
            return new ConfigurationChange.SetClass(set.name(), set.priority());
        }
        if (statement instanceof ChangeStatement.SetBudget set) {
            return budget(set, base);
        }
        if (statement instanceof ChangeStatement.SetLimit set) {
            return new ConfigurationChange.SetLimit(set.service(), set.slots());
        }
        if (statement instanceof ChangeStatement.SetRoute set) {
            return new ConfigurationChange.SetRoute(route(set));
        }
        if (statement instanceof ChangeStatement.RemoveRoute remove) {
            return new ConfigurationChange.RemoveRoute(remove.prefix(), ImmutableSet.of());
        }
        ChangeStatement.MarkRoute mark = (ChangeStatement.MarkRoute) statement;
        return new ConfigurationChange.MarkRoute(mark.prefix(), ImmutableSet.of(), mark.idempotent());
    }

    /** What the statement leaves out stays as it is. */
    private static ConfigurationChange budget(ChangeStatement.SetBudget set, Configuration base) {
        Optional<RetrySetting> now = base.setting(SettingKey.budget(set.name()))
                .filter(RetrySetting.class::isInstance)
                .map(RetrySetting.class::cast);
        int retries =
                set.retries().orElseGet(() -> now.map(RetrySetting::retries).orElse(DEFAULT_RETRIES));
        double share = set.share().orElseGet(() -> now.map(RetrySetting::share).orElse(DEFAULT_SHARE));
        return new ConfigurationChange.SetBudget(set.name(), retries, share);
    }

    private static Route route(ChangeStatement.SetRoute set) {
        boolean safe = !set.methods().isEmpty() && SAFE_METHODS.containsAll(set.methods());
        return new Route(
                set.prefix(),
                ImmutableSet.copyOf(set.methods()),
                set.service(),
                set.priorityClass(),
                set.idempotent().orElse(safe),
                set.deadline().orElse(DEFAULT_DEADLINE),
                "standard");
    }

    private static ChangeReport report(ConfigurationChange change, ChangeResult result) {
        if (result instanceof ChangeResult.Accepted accepted) {
            return ChangeReport.Accepted.of(
                    accepted.changeId(), accepted.version(), ImmutableList.of(change.statement()));
        }
        if (result instanceof ChangeResult.Conflict conflict) {
            return new ChangeReport.Conflict(
                    conflict.setting(), conflict.theirValue(), conflict.by(), conflict.theirVersion());
        }
        if (result instanceof ChangeResult.Rejected rejected) {
            return new ChangeReport.Rejected(rejected.message(), rejected.remedy());
        }
        if (result instanceof ChangeResult.NotAccepted refused) {
            return new ChangeReport.Rejected("the platform store can't be written now", refused.remedy());
        }
        if (result instanceof ChangeResult.Acceptable acceptable) {
            String effect = acceptable.setting() + ": " + acceptable.before() + " -> " + acceptable.after();
            return new ChangeReport.WouldChange(ImmutableList.of(effect), acceptable.version());
        }
        ChangeResult.Unknown unknown = (ChangeResult.Unknown) result;
        return new ChangeReport.Unknown(unknown.changeId(), unknown.remedy());
    }
}

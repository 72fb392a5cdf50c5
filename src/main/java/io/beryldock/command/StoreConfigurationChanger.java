package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.configuration.ActiveConfiguration;
import io.beryldock.configuration.ChangeResult;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationChange;
import io.beryldock.configuration.ConfigurationWriter;
import io.beryldock.configuration.RetrySetting;
import io.beryldock.configuration.Route;
import io.beryldock.configuration.Setting;
import io.beryldock.configuration.SettingKey;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Changes the configuration through its writer.
 *
 * <p>Thread safe, never blocks. What a statement leaves out is taken from the setting in force at this node; a change
 * of it by another operator in the meantime is a conflict, so nothing is undone unseen.
 */
public final class StoreConfigurationChanger implements ConfigurationChanger {

    /** Time allowed to the root requests of a new route whose statement does not say. */
    static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(5);

    /** Methods that change nothing at the target, as HTTP defines them. */
    private static final ImmutableSet<String> SAFE_METHODS = ImmutableSet.of("GET", "HEAD", "OPTIONS");

    private final ConfigurationWriter writer;
    private final ActiveConfiguration activeConfiguration;

    private StoreConfigurationChanger(ConfigurationWriter writer, ActiveConfiguration activeConfiguration) {
        this.writer = writer;
        this.activeConfiguration = activeConfiguration;
    }

    public static StoreConfigurationChanger create(
            ConfigurationWriter writer, ActiveConfiguration activeConfiguration) {
        return new StoreConfigurationChanger(writer, activeConfiguration);
    }

    @Override
    public CompletableFuture<ChangeReport> change(ChangeRequest request) {
        if (request.statement() instanceof ChangeStatement.RestoreConfiguration) {
            return restore(request);
        }
        Configuration seen = activeConfiguration.current();
        Optional<ConfigurationChange> change = change(request.statement(), seen);
        if (change.isEmpty()) {
            return CompletableFuture.completedFuture(
                    new ChangeReport.Rejected("there is no such budget yet", "give both its share and its retries"));
        }
        long basedOn = request.basedOn().orElse(seen.version());
        CompletableFuture<ChangeResult> result = request.dryRun()
                ? writer.dryRun(change.get(), basedOn)
                : writer.submit(change.get(), request.operator(), basedOn);
        return result.thenApply(StoreConfigurationChanger::report);
    }

    private CompletableFuture<ChangeReport> restore(ChangeRequest request) {
        if (request.dryRun()) {
            String effect = "the store would be given this node's version "
                    + activeConfiguration.current().version()
                    + " as a new one, unless it holds that version or a higher one";
            return CompletableFuture.completedFuture(new ChangeReport.WouldChange(
                    ImmutableList.of(effect), activeConfiguration.current().version()));
        }
        return writer.restore(request.operator()).thenApply(StoreConfigurationChanger::report);
    }

    /** Empty when the statement leaves out what a new setting needs. */
    private static Optional<ConfigurationChange> change(ChangeStatement.OfConfiguration statement, Configuration seen) {
        if (statement instanceof ChangeStatement.SetClass set) {
            return Optional.of(new ConfigurationChange.SetClass(set.name(), set.priority()));
        }
        if (statement instanceof ChangeStatement.SetLimit set) {
            return Optional.of(new ConfigurationChange.SetLimit(set.service(), set.slots()));
        }
        if (statement instanceof ChangeStatement.SetBudget set) {
            return budget(set, seen);
        }
        if (statement instanceof ChangeStatement.SetRoute set) {
            return Optional.of(route(set, seen));
        }
        if (statement instanceof ChangeStatement.SetDeadline set) {
            return Optional.of(new ConfigurationChange.SetDeadline(
                    set.prefix(), ImmutableSet.copyOf(set.methods()), set.deadline()));
        }
        if (statement instanceof ChangeStatement.RemoveRoute remove) {
            return Optional.of(
                    new ConfigurationChange.RemoveRoute(remove.prefix(), ImmutableSet.copyOf(remove.methods())));
        }
        ChangeStatement.MarkRoute mark = (ChangeStatement.MarkRoute) statement;
        return Optional.of(new ConfigurationChange.MarkRoute(
                mark.prefix(), ImmutableSet.copyOf(mark.methods()), mark.idempotent()));
    }

    private static Optional<ConfigurationChange> budget(ChangeStatement.SetBudget set, Configuration seen) {
        SettingKey key = new SettingKey(SettingKey.Kind.BUDGET, set.name(), "");
        Optional<RetrySetting> old = setting(seen, key, RetrySetting.class);
        Optional<Integer> retries = set.retries().or(() -> old.map(RetrySetting::retries));
        Optional<Double> share = set.share().or(() -> old.map(RetrySetting::share));
        if (retries.isEmpty() || share.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ConfigurationChange.SetBudget(set.name(), retries.get(), share.get()));
    }

    private static ConfigurationChange route(ChangeStatement.SetRoute set, Configuration seen) {
        ImmutableSet<String> methods = ImmutableSet.copyOf(set.methods());
        boolean safe = !methods.isEmpty() && SAFE_METHODS.containsAll(methods);
        Route fresh = new Route(
                set.prefix(),
                methods,
                set.service(),
                set.priorityClass(),
                safe,
                DEFAULT_DEADLINE,
                RetrySetting.STANDARD);
        Route old = setting(seen, fresh.key(), Route.class).orElse(fresh);
        return new ConfigurationChange.SetRoute(new Route(
                set.prefix(),
                methods,
                set.service(),
                set.priorityClass(),
                set.idempotent().orElse(old.idempotent()),
                set.deadline().orElse(old.deadline()),
                set.budget().orElse(old.budget())));
    }

    private static <T extends Setting> Optional<T> setting(Configuration seen, SettingKey key, Class<T> kind) {
        return seen.setting(key).filter(kind::isInstance).map(kind::cast);
    }

    private static ChangeReport report(ChangeResult result) {
        if (result instanceof ChangeResult.Accepted accepted) {
            return new ChangeReport.Accepted(accepted.changeId(), accepted.version());
        }
        if (result instanceof ChangeResult.Conflict conflict) {
            return new ChangeReport.Conflict(
                    conflict.setting(), conflict.theirValue(), conflict.by(), conflict.theirVersion());
        }
        if (result instanceof ChangeResult.Unknown unknown) {
            return new ChangeReport.Unknown(unknown.changeId(), unknown.remedy());
        }
        if (result instanceof ChangeResult.NotAccepted notAccepted) {
            return new ChangeReport.Rejected("the change was not accepted", notAccepted.remedy());
        }
        if (result instanceof ChangeResult.Acceptable acceptable) {
            String effect =
                    acceptable.setting() + ": '" + acceptable.before() + "' would become '" + acceptable.after() + "'";
            return new ChangeReport.WouldChange(ImmutableList.of(effect), acceptable.version());
        }
        ChangeResult.Rejected rejected = (ChangeResult.Rejected) result;
        return new ChangeReport.Rejected(withoutRemedy(rejected), rejected.remedy());
    }

    /** The message of a rejection may end with its remedy, which the report has beside it. */
    private static String withoutRemedy(ChangeResult.Rejected rejected) {
        String end = "; " + rejected.remedy();
        String message = rejected.message();
        return message.endsWith(end) ? message.substring(0, message.length() - end.length()) : message;
    }
}

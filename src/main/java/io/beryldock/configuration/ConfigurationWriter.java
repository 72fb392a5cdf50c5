package io.beryldock.configuration;

import com.google.protobuf.ByteString;
import io.beryldock.platform.PlatformStore;
import io.beryldock.platform.StoredValue;
import io.beryldock.platform.WriteResult;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Writes operators' changes into the platform store.
 *
 * <p>Thread safe: its steps run on the control thread.
 */
public final class ConfigurationWriter {

    static final String HEAD_KEY = "configuration/head";

    private final PlatformStore store;
    private final ConfigurationKeeper keeper;
    private final Ports ports;

    private ConfigurationWriter(PlatformStore store, ConfigurationKeeper keeper, Ports ports) {
        this.store = store;
        this.keeper = keeper;
        this.ports = ports;
    }

    /** What the writer is given from outside. Immutable. */
    public record Ports(
            Executor control, TimerService timers, InstantSource clock, RandomGenerator random, EventSink events) {}

    public static ConfigurationWriter create(PlatformStore store, ConfigurationKeeper keeper, Ports ports) {
        return new ConfigurationWriter(store, keeper, ports);
    }

    /**
     * Writes a change.
     *
     * @param basedOnVersion the version that the operator saw, or -1 for the one in force at this node
     */
    public CompletableFuture<ChangeResult> submit(ConfigurationChange change, String operator, long basedOnVersion) {
        return store.get(HEAD_KEY)
                .thenComposeAsync(head -> write(head, change, operator), ports.control())
                .exceptionally(e -> new ChangeResult.NotAccepted("wait until the platform store is back"));
    }

    /** Checks a change against the newest configuration and writes nothing. */
    public CompletableFuture<ChangeResult> dryRun(ConfigurationChange change, long basedOnVersion) {
        Configuration base = keeper.current();
        return CompletableFuture.completedFuture(check(change, base));
    }

    private static ChangeResult check(ConfigurationChange change, Configuration base) {
        try {
            SettingEdit edit = change.editOf(base);
            String before = base.setting(edit.key()).map(Setting::text).orElse("not set");
            return new ChangeResult.Acceptable(base.version(), change.setting().toString(), before, edit.text());
        } catch (ConfigurationException e) {
            return new ChangeResult.Rejected(e.getMessage(), e.remedy());
        }
    }

    private CompletableFuture<ChangeResult> write(
            Optional<StoredValue> head, ConfigurationChange change, String operator) {
        try {
            Configuration base =
                    head.isPresent() ? Configuration.parse(head.get().value().toStringUtf8()) : keeper.current();
            Configuration next = change.apply(base);
            String id = Long.toHexString(ports.random().nextLong());
            long expected = head.map(StoredValue::version).orElse(PlatformStore.ABSENT);
            return store.compareAndSet(HEAD_KEY, expected, ByteString.copyFromUtf8(next.toJson()))
                    .thenApplyAsync(result -> settle(result, next, id, operator), ports.control());
        } catch (ConfigurationException e) {
            return CompletableFuture.completedFuture(new ChangeResult.Rejected(e.getMessage(), e.remedy()));
        }
    }

    private ChangeResult settle(WriteResult result, Configuration next, String id, String operator) {
        return switch (result.kind()) {
            case APPLIED -> {
                keeper.take(next);
                ports.events().record(EventKind.CONFIGURATION_CHANGED, "version " + next.version(), "by " + operator);
                yield new ChangeResult.Accepted(next.version(), id);
            }
            case CONFLICT -> new ChangeResult.Conflict("", "", "", next.version(), "look again and submit once more");
            case NOT_APPLIED -> new ChangeResult.NotAccepted("wait until the platform store is back");
            case UNKNOWN -> new ChangeResult.Unknown(id, "look for the change id in show changes");
        };
    }
}

package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.time.TimerService.Subscription;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the configuration in force at this node and the last changes that led to it.
 *
 * <p>Invariants, checked as it runs: the version only rises; one version is one change. Called on the control thread
 * only, but for {@link #current()} and {@link #changes()}, which any thread may call.
 */
public final class ConfigurationKeeper {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** A version that nodes held is never followed by a lower one. */
    static final VersionRule HIGHER_ONLY = (current, next) -> next > current;

    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private final EventSink events;
    private final VersionRule rule;
    private volatile Configuration current;
    private volatile ChangeLog changes = ChangeLog.empty();

    private ConfigurationKeeper(Configuration defaults, EventSink events, VersionRule rule) {
        this.current = defaults;
        this.events = events;
        this.rule = rule;
    }

    /** Starts with the defaults in force. */
    public static ConfigurationKeeper create(Configuration defaults, EventSink events) {
        return create(defaults, events, HIGHER_ONLY);
    }

    public static ConfigurationKeeper create(Configuration defaults) {
        return create(defaults, EventSink.none());
    }

    static ConfigurationKeeper create(Configuration defaults, EventSink events, VersionRule rule) {
        return new ConfigurationKeeper(defaults, events, rule);
    }

    /** Which versions may follow which. */
    @FunctionalInterface
    interface VersionRule {
        boolean mayFollow(long current, long next);
    }

    public Configuration current() {
        return current;
    }

    /** The last changes that this node knows of, oldest first. */
    public ImmutableList<ChangeRecord> changes() {
        return changes.records();
    }

    ChangeLog changeLog() {
        return changes;
    }

    /** Calls the listener, on the control thread, with each configuration put in force from now on. */
    public Subscription onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    /**
     * Puts a whole configuration in force if its version is higher; tells whether it did.
     *
     * @param recent the last changes up to its version, as far as they are known
     */
    boolean take(Configuration next, List<ChangeRecord> recent) {
        checkSameChanges(next.lineage(), recent);
        if (!rule.mayFollow(current.version(), next.version())) {
            return false;
        }
        boolean continues = !recent.isEmpty() && next.lineage().equals(current.lineage());
        changes = (continues ? changes : ChangeLog.empty()).plus(recent);
        putInForce(next);
        return true;
    }

    /** Puts the changes that continue the version in force on top of it; tells whether the version rose. */
    boolean apply(String lineage, List<ChangeRecord> records) {
        if (!lineage.equals(current.lineage())) {
            return false;
        }
        checkSameChanges(lineage, records);
        ImmutableList<ChangeRecord> next = continuing(current.version(), records);
        if (next.isEmpty()) {
            return false;
        }
        changes = changes.plus(next);
        putInForce(current.after(next));
        return true;
    }

    /** Those of the records, in order of their versions, that follow the version without a gap. */
    static ImmutableList<ChangeRecord> continuing(long version, List<ChangeRecord> records) {
        ImmutableList.Builder<ChangeRecord> following = ImmutableList.builder();
        long last = version;
        for (ChangeRecord record : records) {
            if (record.version() == last + 1) {
                following.add(record);
                last++;
            }
        }
        return following.build();
    }

    private void putInForce(Configuration next) {
        if (next.version() <= current.version()) {
            throw new IllegalStateException("configuration would fall from " + current + " to " + next);
        }
        current = next;
        events.record(EventKind.CONFIGURATION_APPLIED, "version " + next.version(), lastChange());
        listeners.forEach(listener -> listener.accept(next));
    }

    private String lastChange() {
        ImmutableList<ChangeRecord> records = changes.records();
        if (records.isEmpty()) {
            return "taken whole";
        }
        ChangeRecord last = records.get(records.size() - 1);
        return last.statement() + " by " + last.operator();
    }

    /**
     * Guards against two changes under one version, which would leave nodes with different documents for good. It
     * would show as a version that nodes agree on and a setting that they don't; the store's order makes it impossible
     * as long as every version comes from a compare-and-set of the head.
     */
    private void checkSameChanges(String lineage, List<ChangeRecord> records) {
        if (!lineage.equals(current.lineage())) {
            return;
        }
        for (ChangeRecord record : records) {
            Optional<ChangeRecord> known = Optional.ofNullable(changes.at(record.version()));
            if (known.isPresent() && !known.get().changeId().equals(record.changeId())) {
                String detail = "version " + record.version() + " is change " + record.changeId() + " and "
                        + known.get().changeId();
                events.record(EventKind.INVARIANT_BROKEN, "configuration", detail);
                log.atSevere().log("two changes under one version: %s", detail);
                throw new IllegalStateException(detail);
            }
        }
    }
}

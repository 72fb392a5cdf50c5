package io.beryldock.configuration;

import com.google.common.flogger.FluentLogger;
import io.beryldock.store.EntryListener;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.StoreSharing;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Keeps this node at the newest version of the operators' document in the store.
 *
 * <p>Confined to the control thread, except {@link #verifiedAgeNanos()}, which any thread may call. Invariant: the
 * version in force never decreases during the lifetime of the process, whatever the source of a document.
 */
public final class DocumentSync {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Pause between two watches. Documents are replaced rarely, and a delayed update costs more than a store call. */
    private static final Duration WATCH_PAUSE = Duration.ofMillis(20);

    /**
     * Age of the last check above which this node asks the store itself: half of the two seconds after which operators
     * rely on a confirmed document.
     */
    private static final Duration MAX_AGE = Duration.ofSeconds(1);

    private final ActiveConfiguration activeConfiguration;
    private final StoreSharing sharing;
    private final String key;
    private final DocumentDecoder decoder;

    /** Set once by the control thread, read by request threads. */
    private volatile StoreSharing.Verification verification = Optional::empty;

    private DocumentSync(
            ActiveConfiguration activeConfiguration, StoreSharing sharing, String key, DocumentDecoder decoder) {
        this.activeConfiguration = activeConfiguration;
        this.sharing = sharing;
        this.key = key;
        this.decoder = decoder;
    }

    /**
     * Creates a synchronisation that is not started yet.
     *
     * @param key under which the store holds the document
     */
    public static DocumentSync create(
            ActiveConfiguration activeConfiguration, StoreSharing sharing, String key, DocumentDecoder decoder) {
        return new DocumentSync(activeConfiguration, sharing, key, decoder);
    }

    /** Reads the document and starts to follow its changes. */
    public void start() {
        verification = sharing.follow(key, WATCH_PAUSE, MAX_AGE, new DocumentListener());
    }

    /**
     * Returns the time since the document in force was verified to be the newest, in nanoseconds; empty while unknown.
     */
    public Optional<Long> verifiedAgeNanos() {
        return verification.ageNanos();
    }

    /** Handles entries of the document that come from the store and from other nodes. */
    private final class DocumentListener implements EntryListener {

        /** The entry whose document is in force; null until there is one. */
        private Entry inForce;

        /** Whether the store holds an older document than the one in force, or no document any more. */
        private boolean storeOutdated;

        @Override
        public boolean onEntry(Entry entry) {
            if (!entry.key().equals(key)) {
                return true;
            }
            if (entry.value().isEmpty()) {
                storeOutdated = inForce != null;
                return true;
            }
            try {
                Configuration document = decoder.decode(entry.value().get());
                putInForceIfNewer(entry, document);
                storeOutdated =
                        document.version() < activeConfiguration.current().version();
                return true;
            } catch (ConfigurationException e) {
                log.atWarning().withCause(e).log("ignoring an operators' document that cannot be read");
                return false;
            }
        }

        /** Puts the document of the entry in force if it is newer; returns whether it did. */
        private boolean putInForceIfNewer(Entry entry, Configuration document) {
            boolean adopted = activeConfiguration.adopt(document, List.of());
            if (adopted) {
                inForce = entry;
            }
            log.atInfo().log(
                    "document version %d of revision %s is %s",
                    document.version(),
                    entry.revision(),
                    adopted
                            ? "in force"
                            : "ignored because version "
                                    + activeConfiguration.current().version() + " is in force");
            return adopted;
        }

        @Override
        public Optional<Entry> retainedEntry() {
            return storeOutdated ? Optional.ofNullable(inForce) : Optional.empty();
        }

        /** Guards against a node that starts with an outdated document after the store was reset to an older state. */
        @Override
        public void onRetainedEntry(Entry entry) {
            if (!entry.key().equals(key) || entry.value().isEmpty()) {
                return;
            }
            try {
                boolean newer =
                        putInForceIfNewer(entry, decoder.decode(entry.value().get()));
                storeOutdated = newer || storeOutdated;
            } catch (ConfigurationException e) {
                log.atWarning().withCause(e).log(
                        "ignoring an operators' document from another node that cannot be read");
            }
        }
    }
}

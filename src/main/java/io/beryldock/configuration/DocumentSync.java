package io.beryldock.configuration;

import com.google.common.flogger.FluentLogger;
import io.beryldock.store.EntryListener;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.StoreSharing;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Keeps this node at the operators' newest document in the store.
 *
 * <p>Control thread only, but for {@link #verifiedAgeNanos()}, which any thread may call. Invariant: the version in
 * force never falls in one life of the process, whoever tells of a document.
 */
public final class DocumentSync {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Pause between two watches; a document is replaced seldom, and late news of it costs more than a call. */
    private static final Duration GATHER = Duration.ofMillis(20);

    private final ConfigurationKeeper keeper;
    private final StoreSharing sharing;
    private final String key;
    private final DocumentDecoder decoder;
    private final boolean verified;

    /** Set once by the control thread, asked by traffic threads. */
    private volatile StoreSharing.Verification verification = Optional::empty;

    private DocumentSync(
            ConfigurationKeeper keeper, StoreSharing sharing, String key, DocumentDecoder decoder, boolean verified) {
        this.keeper = keeper;
        this.sharing = sharing;
        this.key = key;
        this.decoder = decoder;
        this.verified = verified;
    }

    /**
     * A synchronisation that has not started.
     *
     * @param key under which the store holds the document
     * @param verified whether it is to be known for how long the document has surely been the newest; it costs
     *     the store a reading a second and data centre
     */
    public static DocumentSync create(
            ConfigurationKeeper keeper, StoreSharing sharing, String key, DocumentDecoder decoder, boolean verified) {
        return new DocumentSync(keeper, sharing, key, decoder, verified);
    }

    /** Reads the document and follows it. */
    public void start() {
        if (verified) {
            verification = sharing.followVerified(key, GATHER, new DocumentListener());
        } else {
            sharing.follow(key, GATHER, new DocumentListener());
        }
    }

    /** How long ago the document in force was surely the newest, in nanoseconds; empty while it is not known. */
    public Optional<Long> verifiedAgeNanos() {
        return verification.ageNanos();
    }

    /** Takes what the store and other nodes tell of the document. */
    private final class DocumentListener implements EntryListener {

        /** The entry whose document is in force; null before the first. */
        private Entry inForce;

        /** Whether the store holds an older document than the one in force, or none any more. */
        private boolean setBack;

        @Override
        public boolean onEntry(Entry entry) {
            if (!entry.key().equals(key)) {
                return true;
            }
            if (entry.value().isEmpty()) {
                setBack = inForce != null;
                return true;
            }
            try {
                Configuration document = decoder.decode(entry.value().get());
                take(entry, document);
                setBack = document.version() < keeper.current().version();
                return true;
            } catch (ConfigurationException e) {
                log.atWarning().withCause(e).log("a document of the operators can't be read and is passed over");
                return false;
            }
        }

        /** Puts the document of the entry in force if it is newer; tells whether it did. */
        private boolean take(Entry entry, Configuration document) {
            boolean taken = keeper.take(document, List.of());
            if (taken) {
                inForce = entry;
            }
            log.atInfo().log(
                    "document version %d of revision %s is %s",
                    document.version(),
                    entry.revision(),
                    taken
                            ? "in force"
                            : "passed over, as version " + keeper.current().version() + " is in force");
            return taken;
        }

        @Override
        public Optional<Entry> kept() {
            return setBack ? Optional.ofNullable(inForce) : Optional.empty();
        }

        /** Guards against a node that starts with the document to which the store was set back. */
        @Override
        public void onKept(Entry entry) {
            if (!entry.key().equals(key) || entry.value().isEmpty()) {
                return;
            }
            try {
                boolean newer = take(entry, decoder.decode(entry.value().get()));
                setBack = newer || setBack;
            } catch (ConfigurationException e) {
                log.atWarning().withCause(e).log(
                        "a document that another node goes by can't be read: it is passed over");
            }
        }
    }
}

package io.beryldock.configuration;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.StoreRevision;
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
            verification = sharing.followVerified(key, GATHER, this::onEntry);
        } else {
            sharing.follow(key, GATHER, this::onEntry);
        }
    }

    /** How long ago the document in force was surely the newest, in nanoseconds; empty while it is not known. */
    public Optional<Long> verifiedAgeNanos() {
        return verification.ageNanos();
    }

    private boolean take(ByteString found, StoreRevision revision) {
        try {
            Configuration document = decoder.decode(found);
            boolean taken = keeper.take(document, List.of());
            log.atInfo().log(
                    "document version %d of revision %s is %s",
                    document.version(),
                    revision,
                    taken
                            ? "in force"
                            : "passed over, as version " + keeper.current().version() + " is in force");
            return true;
        } catch (ConfigurationException e) {
            log.atWarning().withCause(e).log("a document of the operators can't be read and is passed over");
            return false;
        }
    }

    private boolean onEntry(Entry entry) {
        return !entry.key().equals(key)
                || entry.value().map(value -> take(value, entry.revision())).orElse(true);
    }
}

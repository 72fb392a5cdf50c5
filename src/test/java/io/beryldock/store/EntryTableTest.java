package io.beryldock.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.wire.StoreEntry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class EntryTableTest {

    private static final long LATER = Duration.ofMinutes(1).toNanos();

    private final EntryTable table = new EntryTable("p/");

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static Entry entry(String key, long revision) {
        return new Entry(key, at(revision), Optional.of(ByteString.copyFromUtf8(key + revision)));
    }

    private static Entry removal(String key, long revision) {
        return new Entry(key, at(revision), Optional.empty());
    }

    private void list(long revision, Entry... entries) {
        Listing listing = new Listing(ImmutableList.copyOf(entries), at(revision));
        table.changesTo(listing).forEach(change -> table.apply(change, 0));
        table.advance(at(revision));
    }

    private List<String> keysSince(StoreRevision revision) {
        return table.since(revision, 0).getEntriesList().stream()
                .map(StoreEntry::getKey)
                .toList();
    }

    /** Guards against orders to a target that has left: a reordered message must not restore its old entry. */
    @Test
    void changeOlderThanTheTombstoneIsNotNewer() {
        table.apply(entry("p/a", 5), 0);
        table.apply(removal("p/a", 7), 0);
        assertThat(table.isNewer(entry("p/a", 6))).isFalse();
        assertThat(table.isNewer(entry("p/a", 8))).isTrue();
    }

    /**
     * Guards against the return of removed entries: after the store compacted its history, a lagging replica may still
     * list them.
     */
    @Test
    void listingOlderThanTheTableYieldsNoChanges() {
        list(9, entry("p/a", 9));
        assertThat(table.changesTo(new Listing(ImmutableList.of(entry("p/b", 3)), at(4))))
                .isEmpty();
    }

    @Test
    void entryMissingFromAListingIsRemoved() {
        list(2, entry("p/a", 1), entry("p/b", 2));
        list(6, entry("p/b", 2));
        assertThat(keysSince(StoreRevision.NONE)).containsExactly("p/b");
        assertThat(table.since(at(2), 0).getEntriesList())
                .anyMatch(found -> found.getKey().equals("p/a") && !found.hasValue());
    }

    @Test
    void partContainsOnlyChangesAfterTheRevision() {
        list(5, entry("p/a", 1), entry("p/b", 5));
        assertThat(table.since(at(3), 0).getWhole()).isFalse();
        assertThat(keysSince(at(3))).containsExactly("p/b");
    }

    /** Guards against a node that was unreachable for a minute and never learns of a target removed in the meantime. */
    @Test
    void nodeLaggingBeyondTombstoneRetentionGetsCompleteListing() {
        list(1, entry("p/a", 1));
        table.apply(removal("p/a", 2), 0);
        table.advance(at(2));
        assertThat(table.since(at(1), 0).getWhole()).isFalse();
        assertThat(table.since(at(1), LATER).getWhole()).isTrue();
        assertThat(table.since(at(2), LATER).getEntriesList()).isEmpty();
    }

    private static Entry inLaterEra(Entry entry) {
        return new Entry(entry.key(), new StoreRevision(2, entry.revision().number()), entry.value());
    }

    /** Guards against dropped changes: a new era assigns revision numbers that an earlier era has already used. */
    @Test
    void lowerRevisionOfALaterEraIsNewer() {
        list(9, entry("p/a", 9));
        assertThat(table.isNewer(inLaterEra(entry("p/a", 4)))).isTrue();
        table.apply(inLaterEra(entry("p/a", 4)), 0);
        assertThat(table.isNewer(entry("p/a", 10))).isFalse();
    }

    /** Guards against a delayed answer that restores a change which the store has lost. */
    @Test
    void changeOfAnEarlierEraIsNotNewer() {
        list(9, entry("p/a", 5));
        table.advance(new StoreRevision(2, 5));
        assertThat(table.isNewer(entry("p/lost", 8))).isFalse();
    }

    /** Guards against a listing of the restored store that is mistaken for the listing of a lagging replica. */
    @Test
    void listingOfALaterEraRemovesLostEntries() {
        list(9, entry("p/a", 5), entry("p/b", 9));
        Listing copy = new Listing(ImmutableList.of(inLaterEra(entry("p/a", 5))), new StoreRevision(2, 6));
        assertThat(table.changesTo(copy)).containsExactly(new Entry("p/b", new StoreRevision(2, 6), Optional.empty()));
    }

    /** Guards against unchanged records that are reported as changes after the store was restored with them. */
    @Test
    void changeContainedInTheRestoredCopyIsNotRepeated() {
        list(9, entry("p/a", 5));
        Entry other = new Entry("p/a", new StoreRevision(2, 5), Optional.of(ByteString.copyFromUtf8("other")));
        Listing copy = new Listing(ImmutableList.of(inLaterEra(entry("p/a", 5))), new StoreRevision(2, 5));
        Listing changed = new Listing(ImmutableList.of(other), new StoreRevision(2, 5));
        assertThat(table.changesTo(copy)).isEmpty();
        assertThat(table.changesTo(changed)).containsExactly(other);
    }

    /** Guards against a listing that delivers an older entry after the entry that replaced it. */
    @Test
    void changesOfAListingAreOrderedByRevision() {
        Listing listing = new Listing(ImmutableList.of(entry("p/a", 8), entry("p/b", 3)), at(9));
        assertThat(table.changesTo(listing)).extracting(Entry::key).containsExactly("p/b", "p/a");
    }

    /** Guards against a node that keeps lost entries because it receives only the changes after its own revision. */
    @Test
    void nodeOfAnotherEraGetsCompleteListing() {
        list(9, entry("p/a", 5));
        assertThat(table.since(new StoreRevision(2, 7), 0).getWhole()).isTrue();
        assertThat(table.since(at(7), 0).getWhole()).isFalse();
    }
}

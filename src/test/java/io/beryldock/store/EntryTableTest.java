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

    private static Entry entry(String key, long revision) {
        return new Entry(key, revision, Optional.of(ByteString.copyFromUtf8(key + revision)));
    }

    private static Entry removal(String key, long revision) {
        return new Entry(key, revision, Optional.empty());
    }

    private void list(long revision, Entry... entries) {
        Listing listing = new Listing(ImmutableList.copyOf(entries), revision);
        table.changesTo(listing).forEach(change -> table.take(change, 0));
        table.advance(revision);
    }

    private List<String> keysSince(long revision) {
        return table.since(revision, 0).getEntriesList().stream()
                .map(StoreEntry::getKey)
                .toList();
    }

    /** Story: a target that left gets orders again: a message that was overtaken brought its old entry back. */
    @Test
    void olderChangeOfAKeyIsNoNews() {
        table.take(entry("p/a", 5), 0);
        table.take(removal("p/a", 7), 0);
        assertThat(table.isNews(entry("p/a", 6))).isFalse();
        assertThat(table.isNews(entry("p/a", 8))).isTrue();
    }

    /** Story: after the store dropped its history a copy behind the rest lists entries that have long gone. */
    @Test
    void listingOlderThanWhatIsKnownChangesNothing() {
        list(9, entry("p/a", 9));
        assertThat(table.changesTo(new Listing(ImmutableList.of(entry("p/b", 3)), 4)))
                .isEmpty();
    }

    @Test
    void entryMissingInAListingIsRemoved() {
        list(2, entry("p/a", 1), entry("p/b", 2));
        list(6, entry("p/b", 2));
        assertThat(keysSince(EntryTable.EMPTY)).containsExactly("p/b");
        assertThat(table.since(2, 0).getEntriesList())
                .anyMatch(found -> found.getKey().equals("p/a") && !found.hasValue());
    }

    @Test
    void partHoldsWhatChangedAfterTheRevision() {
        list(5, entry("p/a", 1), entry("p/b", 5));
        assertThat(table.since(3, 0).getWhole()).isFalse();
        assertThat(keysSince(3)).containsExactly("p/b");
    }

    /** Story: a node that was away for a minute keeps a target that was removed meanwhile, for ever. */
    @Test
    void nodeThatLaggedLongIsSentAllThereIs() {
        list(1, entry("p/a", 1));
        table.take(removal("p/a", 2), 0);
        table.advance(2);
        assertThat(table.since(1, 0).getWhole()).isFalse();
        assertThat(table.since(1, LATER).getWhole()).isTrue();
        assertThat(table.since(2, LATER).getEntriesList()).isEmpty();
    }
}

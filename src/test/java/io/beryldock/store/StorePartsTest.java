package io.beryldock.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.wire.StorePart;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class StorePartsTest {

    /** Guards against a node that keeps an entry which the store lost, as the one of the restored copy looks older. */
    @Test
    void listingHasTheRevisionsOfItsOwnEra() {
        Entry copied = new Entry("a", new StoreRevision(2, 5), Optional.of(ByteString.copyFromUtf8("1")));
        StorePart part = StoreParts.part("", new StoreRevision(11, 8))
                .setWhole(true)
                .addEntries(StoreParts.entry(copied))
                .build();
        EntryTable table = new EntryTable("");
        table.apply(new Entry("a", new StoreRevision(3, 7), Optional.of(ByteString.copyFromUtf8("lost"))), 0);
        table.advance(new StoreRevision(3, 7));
        assertThat(table.changesTo(StoreParts.listing(part)))
                .containsExactly(new Entry("a", new StoreRevision(11, 5), copied.value()));
    }
}

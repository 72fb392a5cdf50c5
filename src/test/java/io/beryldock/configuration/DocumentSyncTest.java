package io.beryldock.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.store.FakeRegistry;
import io.beryldock.store.SharingFleet;
import io.beryldock.store.StoreSharing;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Three nodes that follow the operators' document in the store and tell each other; the document is its version. */
final class DocumentSyncTest {

    private static final String KEY = "op/document";
    private static final int NODES = 3;

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final SharingFleet fleet = new SharingFleet(registry, timers);
    private final List<ConfigurationKeeper> keepers = new ArrayList<>();

    DocumentSyncTest() throws ConfigurationException {
        for (int i = 0; i < NODES; i++) {
            addNode(i);
        }
    }

    private void addNode(int number) throws ConfigurationException {
        ConfigurationKeeper keeper = ConfigurationKeeper.create(Configuration.defaults("none"));
        keepers.add(keeper);
        StoreSharing sharing = fleet.add("n" + number, "gent-a");
        DocumentSync.create(keeper, sharing, KEY, DocumentSyncTest::decode, number % 2 == 0)
                .start();
    }

    private static Configuration decode(ByteString document) throws ConfigurationException {
        try {
            return Configuration.imported(Long.parseLong(document.toStringUtf8()), List.of());
        } catch (NumberFormatException e) {
            throw ConfigurationException.of("document", "no number", "write it again");
        }
    }

    private void write(String document) {
        registry.write(KEY, ByteString.copyFromUtf8(document));
    }

    private List<Long> versions() {
        return keepers.stream().map(keeper -> keeper.current().version()).toList();
    }

    @Test
    void documentIsInForceEverywhereWithinASecond() {
        write("7");
        timers.advance(Duration.ofSeconds(1));
        assertThat(versions()).containsOnly(7L);
    }

    /**
     * Story: a route that operators removed is still served by some nodes. The store turned these nodes away, and they
     * heard of the change from nobody.
     */
    @Test
    void nodesThatTheStoreTurnsAwayHearFromPeers() {
        timers.advance(Duration.ofSeconds(1));
        fleet.view("n1").setDown(true);
        fleet.view("n2").setDown(true);
        write("8");
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(8L);
    }

    /** Story: a change that was in force is gone again for a moment: a node took an older document from a peer. */
    @Test
    void olderDocumentNeverReplacesANewerOne() {
        write("9");
        timers.advance(Duration.ofSeconds(1));
        write("4");
        timers.advance(Duration.ofSeconds(3));
        assertThat(versions()).containsOnly(9L);
    }

    /** Guards against changes that are taken for old ones since the store gave their revisions out before. */
    @Test
    void changeIsInForceAfterTheStoreCameBackFromAnOlderCopy() {
        write("7");
        timers.advance(Duration.ofSeconds(1));
        FakeRegistry.Copy copy = registry.copy();
        write("8");
        write("9");
        timers.advance(Duration.ofSeconds(1));
        registry.comeBackFrom(copy);
        write("9");
        timers.advance(Duration.ofSeconds(2));
        write("10");
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(10L);
    }

    /** Guards against a node that starts with an older document, as the store was set back to it. */
    @Test
    void nodeThatStartsGoesByTheDocumentThatTheStoreLost() throws ConfigurationException {
        write("7");
        timers.advance(Duration.ofSeconds(1));
        FakeRegistry.Copy copy = registry.copy();
        write("8");
        timers.advance(Duration.ofSeconds(4));
        registry.comeBackFrom(copy);
        timers.advance(Duration.ofSeconds(1));
        addNode(NODES);
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(8L);
        write("9");
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(9L);
    }

    /** The same when the store lost the only document there was. */
    @Test
    void nodeThatStartsGoesByTheOnlyDocumentThatTheStoreLost() throws ConfigurationException {
        FakeRegistry.Copy empty = registry.copy();
        write("8");
        timers.advance(Duration.ofSeconds(4));
        registry.comeBackFrom(empty);
        timers.advance(Duration.ofSeconds(1));
        addNode(NODES);
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(8L);
    }

    @Test
    void documentThatCantBeReadIsPassedOver() {
        write("5");
        write("rubbish");
        timers.advance(Duration.ofSeconds(1));
        assertThat(versions()).containsOnly(5L);
    }
}

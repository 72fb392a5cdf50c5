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

/**
 * Tests three nodes that follow the operators' document in the store and share it with each other. The content of a
 * test document is its version number.
 */
final class DocumentSyncTest {

    private static final String KEY = "op/document";
    private static final int NODES = 3;

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final SharingFleet fleet = new SharingFleet(registry, timers);
    private final List<ActiveConfiguration> configurations = new ArrayList<>();

    DocumentSyncTest() throws ConfigurationException {
        for (int i = 0; i < NODES; i++) {
            addNode(i);
        }
    }

    private void addNode(int number) throws ConfigurationException {
        ActiveConfiguration activeConfiguration = ActiveConfiguration.create(Configuration.defaults("none"));
        configurations.add(activeConfiguration);
        StoreSharing sharing = fleet.add("n" + number, "gent-a");
        DocumentSync.create(activeConfiguration, sharing, KEY, DocumentSyncTest::decode)
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
        return configurations.stream()
                .map(activeConfiguration -> activeConfiguration.current().version())
                .toList();
    }

    @Test
    void documentIsInForceOnAllNodesWithinOneSecond() {
        write("7");
        timers.advance(Duration.ofSeconds(1));
        assertThat(versions()).containsOnly(7L);
    }

    /**
     * Guards against a removed route that some nodes still serve: these nodes cannot reach the store and get no update
     * from their peers.
     */
    @Test
    void nodesWithoutStoreGetDocumentFromPeers() {
        timers.advance(Duration.ofSeconds(1));
        fleet.view("n1").setDown(true);
        fleet.view("n2").setDown(true);
        write("8");
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(8L);
    }

    /**
     * Guards against a change that is temporarily reverted, because a node accepts an older document from a peer or
     * from the store.
     */
    @Test
    void olderDocumentNeverReplacesNewerOne() {
        write("9");
        timers.advance(Duration.ofSeconds(1));
        write("4");
        timers.advance(Duration.ofSeconds(3));
        assertThat(versions()).containsOnly(9L);
    }

    /**
     * Guards against new changes that are ignored as outdated, because the store was restored from an older copy and
     * assigns revisions that it assigned before.
     */
    @Test
    void newChangeIsInForceAfterStoreWasRestoredFromOlderCopy() {
        write("7");
        timers.advance(Duration.ofSeconds(1));
        FakeRegistry.Copy copy = registry.copy();
        write("8");
        write("9");
        timers.advance(Duration.ofSeconds(1));
        registry.restoreFrom(copy);
        write("9");
        timers.advance(Duration.ofSeconds(2));
        write("10");
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(10L);
    }

    /** Guards against a node that starts with an older document, because the store was reset to it. */
    @Test
    void startingNodeUsesDocumentThatStoreLost() throws ConfigurationException {
        write("7");
        timers.advance(Duration.ofSeconds(1));
        FakeRegistry.Copy copy = registry.copy();
        write("8");
        timers.advance(Duration.ofSeconds(4));
        registry.restoreFrom(copy);
        timers.advance(Duration.ofSeconds(1));
        addNode(NODES);
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(8L);
        write("9");
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(9L);
    }

    /** Guards against a node that starts without a document, because the store lost the only version. */
    @Test
    void startingNodeUsesOnlyDocumentThatStoreLost() throws ConfigurationException {
        FakeRegistry.Copy empty = registry.copy();
        write("8");
        timers.advance(Duration.ofSeconds(4));
        registry.restoreFrom(empty);
        timers.advance(Duration.ofSeconds(1));
        addNode(NODES);
        timers.advance(Duration.ofSeconds(2));
        assertThat(versions()).containsOnly(8L);
    }

    @Test
    void unreadableDocumentIsIgnored() {
        write("5");
        write("rubbish");
        timers.advance(Duration.ofSeconds(1));
        assertThat(versions()).containsOnly(5L);
    }
}

package io.beryldock.cli;

import com.google.common.collect.ImmutableSortedMap;
import java.util.function.Supplier;

/** The subcommands by name, each with its one-line help. Immutable. */
final class SubcommandRegistry {

    static final ImmutableSortedMap<String, Entry> ENTRIES = ImmutableSortedMap.<String, Entry>naturalOrder()
            .put("ctl", new Entry(CtlSubcommand::new, "ask and command a node: --node IP:PORT \"STATEMENT\""))
            .put("demo", new Entry(DemoSubcommand::new, "show a small deployment at work"))
            .put("explain", new Entry(ExplainSubcommand::new, "tell the story of a request: REQUEST-ID LOGS..."))
            .put("measure", new Entry(MeasureSubcommand::new, "measure a scenario on real nodes: --scenario NAME"))
            .put("node", new Entry(NodeSubcommand::new, "run a node: --settings FILE"))
            .put("path-cost", new Entry(PathCostSubcommand::new, "measure what a request costs the nodes on its way"))
            .put(
                    "platform-node",
                    new Entry(PlatformNodeSubcommand::new, "run a node on the users' platform: --settings FILE"))
            .put(
                    "record-classes",
                    new Entry(RecordClassesSubcommand::new, "serve a few requests so that the JVM can record classes"))
            .put("soak", new Entry(SoakSubcommand::new, "run nodes under faults and check the promises: --seed N"))
            .put("standin-platform", new Entry(StandinPlatformSubcommand::new, "run a stand-in of the platform store"))
            .put("standin-target", new Entry(StandinTargetSubcommand::new, "run a stand-in target: --settings FILE"))
            .put("timeline", new Entry(TimelineSubcommand::new, "write the time line of all nodes: --node IP:PORT"))
            .put("version", new Entry(VersionSubcommand::new, "print the version"))
            .build();

    private SubcommandRegistry() {}

    /** How to make a subcommand and what it does. */
    record Entry(Supplier<Subcommand> factory, String help) {}
}

package io.beryldock.command;

import com.google.common.collect.ImmutableList;

/**
 * The columns of each topic, which every node uses so that their rows can be merged.
 *
 * <p>Rows of several nodes become one when all their key columns are equal; a topic with a node among its keys keeps
 * one row a node.
 */
public final class ShowColumns {

    /** Each node shows the target in its own VM. */
    public static final ImmutableList<Column> TARGETS = ImmutableList.of(
            Column.key("service"),
            Column.key("target"),
            Column.text("dataCentre"),
            Column.text("state"),
            Column.highest("slots", ColumnKind.NUMBER),
            Column.highest("limit", ColumnKind.NUMBER),
            Column.count("inFlight"),
            Column.count("queued"));

    /** Each node shows itself. */
    public static final ImmutableList<Column> NODES = ImmutableList.of(
            Column.key("node"),
            Column.text("dataCentre"),
            Column.text("state"),
            Column.text("incarnation"),
            Column.highest("members", ColumnKind.NUMBER),
            Column.highest("upMillis", ColumnKind.MILLIS));

    /** Each node shows the level it knows of each service. */
    public static final ImmutableList<Column> LEVELS = ImmutableList.of(
            Column.key("service"),
            Column.lowest("lowest", ColumnKind.LEVEL),
            Column.highest("highest", ColumnKind.LEVEL),
            Column.count("nodes"),
            Column.highest("oldestMillis", ColumnKind.MILLIS));

    /** Each node shows the calls that it forwarded. */
    public static final ImmutableList<Column> RETRIES = ImmutableList.of(
            Column.key("caller"),
            Column.key("service"),
            Column.count("firstTries"),
            Column.count("granted"),
            Column.count("refused"));

    /** Each node shows the table of the tickets that it decides over. */
    public static final ImmutableList<Column> TICKETS = ImmutableList.of(
            Column.key("node"),
            Column.text("state"),
            Column.count("unused"),
            Column.count("inFlight"),
            Column.count("answered"),
            Column.count("unknown"),
            Column.highest("capacity", ColumnKind.NUMBER));

    /** Each node shows its own ends of connections. */
    public static final ImmutableList<Column> CONNECTIONS = ImmutableList.of(
            Column.key("node"),
            Column.key("kind"),
            Column.key("other"),
            Column.text("state"),
            Column.count("connections"),
            Column.count("waiting"),
            Column.lowest("idleMillis", ColumnKind.MILLIS));

    /** The node that was asked shows its settings; the others tell their version only. */
    public static final ImmutableList<Column> CONFIGURATION =
            ImmutableList.of(Column.key("setting"), Column.key("value"));

    /** Every node shows the history that it knows. */
    public static final ImmutableList<Column> CHANGES = ImmutableList.of(
            Column.keyNumber("version"),
            Column.key("changeId"),
            Column.text("operator"),
            Column.text("when"),
            Column.text("change"));

    /** Every node shows the fingerprints that it suspects or refuses. */
    public static final ImmutableList<Column> QUARANTINE = ImmutableList.of(
            Column.key("fingerprint"),
            Column.key("service"),
            Column.text("request"),
            Column.highest("crashes", ColumnKind.NUMBER),
            Column.text("state"),
            Column.highest("leftMillis", ColumnKind.MILLIS));

    /** Decisions over one request, and the states that they may follow from. */
    public static final ImmutableList<Column> WHY = ImmutableList.of(
            Column.keyTime("time"),
            Column.key("dataCentre"),
            Column.key("node"),
            Column.key("kind"),
            Column.key("subject"),
            Column.key("detail"));

    /** Events. */
    public static final ImmutableList<Column> TIMELINE = ImmutableList.of(
            Column.keyTime("time"),
            Column.key("dataCentre"),
            Column.key("node"),
            Column.key("kind"),
            Column.key("subject"),
            Column.key("request"),
            Column.keyNumber("count"),
            Column.key("detail"));

    private ShowColumns() {}

    /** Columns of {@code show shed}; the first is the group. */
    public static ImmutableList<Column> shed(ShedGrouping grouping) {
        return ImmutableList.of(
                Column.key(grouping.word()), Column.key("reason"), Column.count("shed"), Column.text("meaning"));
    }

    public static ImmutableList<Column> of(ShowStatement statement) {
        return switch (statement.topic()) {
            case SHED -> shed(statement.groupingOrDefault());
            case TARGETS -> TARGETS;
            case NODES -> NODES;
            case LEVELS -> LEVELS;
            case RETRIES -> RETRIES;
            case TICKETS -> TICKETS;
            case CONNECTIONS -> CONNECTIONS;
            case CONFIGURATION -> CONFIGURATION;
            case CHANGES -> CHANGES;
            case QUARANTINE -> QUARANTINE;
            case TIMELINE -> TIMELINE;
        };
    }
}

package io.beryldock.command;

import com.google.common.collect.ImmutableList;

/** The columns of each topic, which every node uses so that their rows can be merged. */
public final class ShowColumns {

    public static final ImmutableList<Column> TARGETS = ImmutableList.of(
            Column.text("target"),
            Column.text("dataCentre"),
            Column.text("service"),
            Column.text("state"),
            Column.number("slots"),
            Column.number("limit"),
            Column.count("inFlight"),
            Column.count("queued"),
            Column.number("loadPercent"));

    public static final ImmutableList<Column> NODES = ImmutableList.of(
            Column.text("node"),
            Column.text("dataCentre"),
            Column.text("state"),
            Column.text("incarnation"),
            Column.number("members"),
            Column.millis("upMillis"));

    public static final ImmutableList<Column> LEVELS = ImmutableList.of(
            Column.text("node"),
            Column.text("service"),
            Column.number("level"),
            Column.text("admits"),
            Column.millis("ageMillis"));

    public static final ImmutableList<Column> RETRIES = ImmutableList.of(
            Column.text("caller"),
            Column.text("service"),
            Column.count("firstTries"),
            Column.count("granted"),
            Column.count("refused"),
            Column.number("sharePercent"));

    public static final ImmutableList<Column> TICKETS = ImmutableList.of(
            Column.text("node"),
            Column.count("inFlight"),
            Column.count("answered"),
            Column.count("unknown"),
            Column.number("capacity"),
            Column.text("state"));

    public static final ImmutableList<Column> CONNECTIONS = ImmutableList.of(
            Column.text("node"),
            Column.text("kind"),
            Column.text("other"),
            Column.text("state"),
            Column.count("waiting"),
            Column.millis("idleMillis"));

    public static final ImmutableList<Column> CONFIGURATION = ImmutableList.of(
            Column.text("node"), Column.text("dataCentre"), Column.number("version"), Column.millis("ageMillis"));

    public static final ImmutableList<Column> CHANGES = ImmutableList.of(
            Column.number("version"),
            Column.text("changeId"),
            Column.text("operator"),
            Column.text("when"),
            Column.text("change"));

    public static final ImmutableList<Column> QUARANTINE = ImmutableList.of(
            Column.text("fingerprint"),
            Column.text("service"),
            Column.text("request"),
            Column.number("crashes"),
            Column.text("state"),
            Column.millis("leftMillis"));

    public static final ImmutableList<Column> TIMELINE = ImmutableList.of(
            Column.time("time"),
            Column.text("dataCentre"),
            Column.text("node"),
            Column.text("kind"),
            Column.text("subject"),
            Column.text("request"),
            Column.count("count"),
            Column.text("detail"));

    private ShowColumns() {}

    /** Columns of {@code show shed} with that grouping; the first is the group. */
    public static ImmutableList<Column> shed(ShedGrouping grouping) {
        return ImmutableList.of(
                Column.text(grouping.word()),
                Column.text("where"),
                Column.text("reason"),
                Column.count("shed"),
                Column.count("asked"));
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

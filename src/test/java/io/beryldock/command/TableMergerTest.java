package io.beryldock.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TableMergerTest {

    private static final ImmutableList<Column> COLUMNS = ImmutableList.of(
            Column.key("name"),
            Column.count("sum"),
            Column.lowest("low", ColumnKind.NUMBER),
            Column.highest("high", ColumnKind.NUMBER));

    private static QueryTable random(Random random) {
        QueryTable.Builder table = QueryTable.builder(COLUMNS);
        for (int i = random.nextInt(5); i > 0; i--) {
            Integer low = random.nextInt(4) == 0 ? null : random.nextInt(100);
            table.row("n" + random.nextInt(4), random.nextInt(100), low, random.nextInt(100));
        }
        return table.build();
    }

    private static ImmutableList<ImmutableList<Cell>> sorted(QueryTable table) {
        return ImmutableList.sortedCopyOf(CellOrder.ofRows(ShowTopic.TARGETS, table.columns()), table.rows());
    }

    @Property(tries = 300, seed = "41")
    void mergingInGroupsAndInAnyOrderGivesTheSame(@ForAll Random random) {
        List<QueryTable> tables = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            tables.add(random(random));
        }
        QueryTable whole = TableMerger.merge(tables);
        Collections.shuffle(tables, random);
        int cut = random.nextInt(tables.size());
        QueryTable grouped = TableMerger.merge(List.of(
                TableMerger.merge(tables.subList(0, cut)), TableMerger.merge(tables.subList(cut, tables.size()))));
        assertThat(sorted(grouped)).isEqualTo(sorted(whole));
        assertThat(sum(whole))
                .isEqualTo(tables.stream().mapToLong(TableMergerTest::sum).sum());
    }

    private static long sum(QueryTable table) {
        return table.rows().stream()
                .mapToLong(row -> ((Cell.Whole) row.get(1)).number())
                .sum();
    }

    /** During an upgrade nodes of two releases answer; the column that only the later one has must not shift cells. */
    @Test
    void columnsAreMatchedByNameAcrossReleases() {
        QueryTable older = QueryTable.builder(Column.key("name"), Column.count("sum"))
                .row("a", 1)
                .build();
        QueryTable later = QueryTable.builder(Column.count("extra"), Column.key("name"), Column.count("sum"))
                .row(7, "a", 2)
                .build();
        QueryTable merged = TableMerger.merge(List.of(older, later));
        assertThat(merged.columns()).extracting(Column::name).containsExactly("name", "sum", "extra");
        assertThat(merged.rows())
                .containsExactly(ImmutableList.of(new Cell.Text("a"), new Cell.Whole(3), new Cell.Whole(7)));
    }

    @Test
    void levelsReadAsThePrioritiesThatTheyAdmit() {
        assertThat(CellText.of(new Cell.Whole(1024), ColumnKind.LEVEL)).isEqualTo("all");
        assertThat(CellText.of(new Cell.Whole(0), ColumnKind.LEVEL)).isEqualTo("none");
        assertThat(CellText.of(new Cell.Whole(64), ColumnKind.LEVEL)).isEqualTo("50% of 0");
        assertThat(CellText.of(new Cell.Whole(128), ColumnKind.LEVEL)).isEqualTo("0");
        assertThat(CellText.of(new Cell.Whole(640), ColumnKind.LEVEL)).isEqualTo("0-4");
        assertThat(CellText.of(new Cell.Whole(704), ColumnKind.LEVEL)).isEqualTo("0-4 and 50% of 5");
    }
}

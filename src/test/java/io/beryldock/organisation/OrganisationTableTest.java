package io.beryldock.organisation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class OrganisationTableTest {

    private static final Organisation FIRST = organisation("first", OptionalInt.of(0));
    private static final Organisation USUAL = organisation("usual", OptionalInt.of(1));
    private static final Organisation UNRANKED = organisation("unranked", OptionalInt.empty());

    private static Organisation organisation(String name, OptionalInt rank) {
        return new Organisation(OrganisationName.of(name), rank, Quota.unlimited());
    }

    @Test
    void everyKeyLeadsToItsOrganisation() {
        OrganisationTable table = OrganisationTable.of(Map.of(FIRST, List.of("a", "b"), USUAL, List.of("c")));
        assertThat(table.findByKey("a")).contains(FIRST);
        assertThat(table.findByKey("b")).contains(FIRST);
        assertThat(table.findByKey("c")).contains(USUAL);
        assertThat(table.findByKey("")).isEmpty();
        assertThat(table.findByKey("A")).isEmpty();
    }

    /**
     * Guards against a key that is listed for two organisations by mistake: the organisation listed last would receive
     * the requests of the other.
     */
    @Test
    void keyOfTwoOrganisationsIsRejected() {
        OrganisationTable table = OrganisationTable.of(Map.of(FIRST, List.of("a", "x"), USUAL, List.of("x")));
        assertThat(table.findByKey("x")).isEmpty();
        assertThat(table.findByKey("a")).contains(FIRST);
    }

    @Test
    void organisationWithoutARankCountsAsMostImportant() {
        OrganisationTable table =
                OrganisationTable.of(Map.of(FIRST, List.of("a"), USUAL, List.of("b"), UNRANKED, List.of("c")));
        assertThat(table.ranksBefore(FIRST)).isZero();
        assertThat(table.ranksBefore(USUAL)).isEqualTo(1);
        assertThat(table.ranksBefore(UNRANKED)).isZero();
    }
}

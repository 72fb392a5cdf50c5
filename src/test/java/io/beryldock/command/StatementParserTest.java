package io.beryldock.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class StatementParserTest {

    private static final String COMMANDS = "drain, explain, mark, remove, restore, set, show, undrain, watch, why";

    private static final String ID = "00000000000000010000000000000002-a";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "show shed",
                "show shed by caller last 30s everywhere",
                "show targets",
                "show quarantine everywhere",
                "show shed last 1m service holdings",
                "show targets service lists node gent-a-lists-1 everywhere",
                "show levels service holdings",
                "show nodes node gent-a-lists-1",
                "show timeline node gent-a-lists-1",
                "show timeline last 5m request " + ID + " everywhere",
                "why " + ID,
                "why " + ID + " everywhere",
                "set class browsing priority 7",
                "set budget browsing share 10%",
                "set budget browsing share 0% retries 3",
                "set budget browsing share 12.5%",
                "set limit holdings slots 15",
                "set route /orders methods POST,PUT service orders class orders non-idempotent deadline 1500ms",
                "set route / service lists class browsing budget none",
                "set route /orders methods POST deadline 5s",
                "remove route /orders",
                "remove route /orders methods POST,PUT",
                "mark route /orders methods POST non-idempotent",
                "restore configuration",
                "set class browsing priority 7 based on version 12",
                "explain mark route /a idempotent based on version 0",
                "mark route /orders non-idempotent",
                "mark route /lists idempotent",
                "drain target gent-a-lists-1",
                "undrain target gent-a-lists-1",
                "explain set class browsing priority 3",
                "explain drain target gent-a-lists-1",
                "watch show shed by service",
            })
    void canonicalTextParsesToItself(String text) throws StatementException {
        assertThat(StatementParser.parse(text).text()).isEqualTo(text);
    }

    @Test
    void keywordsAreNamesWhereANameStands() throws StatementException {
        assertThat(StatementParser.parse("set class class priority 0"))
                .isEqualTo(new ChangeStatement.SetClass("class", 0));
        assertThat(StatementParser.parse("drain target 5m"))
                .isEqualTo(new ChangeStatement.DrainTarget(NodeId.of("5m")));
    }

    @Test
    void caseOfKeywordsAndOrderOfOptionsDoNotMatter() throws StatementException {
        assertThat(StatementParser.parse("SHOW Shed everywhere last 300s by service"))
                .isEqualTo(new ShowStatement(
                        ShowTopic.SHED,
                        Optional.of(ShedGrouping.SERVICE),
                        Optional.of(Duration.ofMinutes(5)),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        true));
        assertThat(StatementParser.parse("set route /a service s class c deadline 2s idempotent"))
                .isEqualTo(new ChangeStatement.SetRoute(
                        "/a",
                        ImmutableList.of(),
                        ServiceName.of("s"),
                        "c",
                        Optional.of(true),
                        Optional.of(Duration.ofSeconds(2)),
                        Optional.empty()));
        assertThat(StatementParser.parse("set budget b retries 1 share 0.1").text())
                .isEqualTo("set budget b share 10% retries 1");
        assertThat(StatementParser.parse("mark route /a get,HEAD idempotent").text())
                .isEqualTo("mark route /a methods GET,HEAD idempotent");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''                             | 1  | " + COMMANDS,
                "shw targets                    | 1  | " + COMMANDS,
                "show                           | 5  | changes, configuration, connections, levels, nodes, quarantine,"
                        + " retries, shed, targets, tickets, timeline",
                "show targets lists             | 14 | everywhere, node, service, the end of the statement",
                "show changes service a         | 14 | everywhere, the end of the statement",
                "show shed by node              | 14 | caller, class, service",
                "show shed last week            | 16 | a duration such as 5m or 30s",
                "show shed last 5m last 6m      | 19 | ",
                "show shed last 2h              | 16 | 1ms to 1h",
                "show shed last 99999999999999h | 16 | 1ms to 1h",
                "why                            | 4  | a request id",
                "why 17                         | 5  | a request id",
                "set class browsing             | 19 | priority",
                "set class                      | 10 | the name of a class",
                "set class browsing priority 9  | 29 | 0 to 7",
                "set class browsing priority x  | 29 | a priority from 0 (shed last) to 7 (shed first)",
                "set budget browsing            | 20 | retries, share",
                "set budget browsing share 101% | 27 | 0% to 100%",
                "set route orders service a     | 11 | a path prefix such as /orders",
                "set route /a service a         | 23 | class",
                "set route /a methods G,,       | 24 | an HTTP method",
                "set budget browsing share 1    | 27 | a share such as 10% or 0.1",
                "set budget browsing retries 17 | 29 | 0 to 16",
                "set limit a slots 999999999999 | 19 | 1 to 100000",
                "set route /a                   | 13 | deadline, methods, service, an HTTP method",
                "mark route /a                  | 14 | idempotent, methods, non-idempotent, an HTTP method",
                "drain target                   | 13 | the id of a node",
                "drain target a b               | 16 | the end of the statement",
                "explain show targets           | 9  | drain, mark, remove, restore, set, undrain",
                "show targets; show nodes       | 13 | everywhere, node, service, the end of the statement",
            })
    void errorPointsAtTheColumnAndSaysWhatMayStandThere(String text, int column, String expected) {
        StatementException error = catchThrowableOfType(StatementException.class, () -> StatementParser.parse(text));
        assertThat(error).as(text).isNotNull();
        assertThat(error.column()).as(error.getMessage()).isEqualTo(column);
        assertThat(String.join(", ", error.expected())).isEqualTo(expected == null ? "" : expected);
    }

    @Test
    void malformedRequestIdIsNamed() {
        StatementException error =
                catchThrowableOfType(StatementException.class, () -> StatementParser.parse("why abc-1"));
        assertThat(error.column()).isEqualTo(5);
        assertThat(error).hasMessageContaining("32 hexadecimal digits");
    }

    @Test
    void completionComesFromTheGrammar() {
        assertThat(StatementCompletion.next("show shed by")).containsExactly("caller", "class", "service");
        assertThat(StatementCompletion.next("show shed by class"))
                .containsExactly("by", "everywhere", "last", "service");
        assertThat(StatementCompletion.next("set class")).isEmpty();
        assertThat(StatementCompletion.next("set class a")).containsExactly("priority");
        assertThat(StatementCompletion.next("no such words")).isEmpty();
        assertThat(StatementCompletion.next("")).contains("show", "why", "set");
        assertThat(StatementCompletion.next("set route /a service b class c"))
                .containsExactly("based", "budget", "deadline", "idempotent", "non-idempotent");
        assertThat(StatementCompletion.next("set route /a")).containsExactly("deadline", "methods", "service");
    }
}

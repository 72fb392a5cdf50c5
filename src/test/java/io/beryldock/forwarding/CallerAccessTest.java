package io.beryldock.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.forwarding.CallerAccess.Access;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.organisation.OrganisationTable;
import io.beryldock.organisation.Quota;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CallerAccessTest {

    private static final Organisation GENT =
            new Organisation(OrganisationName.of("gent"), OptionalInt.empty(), Quota.unlimited());
    private static final OrganisationTable TABLE = OrganisationTable.of(Map.of(GENT, List.of("key-1")));
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration BOUND = Duration.ofSeconds(5);

    private Optional<Long> age = Optional.of(0L);
    private final CallerAccess access = CallerAccess.create(() -> age, Optional.of(BOUND));

    private Access check(boolean open, String... keys) {
        return access.check(TABLE, open, ImmutableList.copyOf(keys));
    }

    private static Optional<Reason> reason(Access access) {
        return access.refusal().flatMap(CallResult::reason);
    }

    @Test
    void keyOpensTheRouteForItsOrganisation() {
        assertThat(check(false, "key-1")).isEqualTo(new Access(Optional.empty(), Optional.of(GENT)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "key-2", "KEY-1", "key-1 ", "\u00e9", "key-1, key-1"})
    void anyOtherKeyIsUnknown(String key) {
        assertThat(reason(check(false, key))).contains(Reason.UNKNOWN_KEY);
    }

    @Test
    void noKeyAndTwoKeysAreUnknown() {
        assertThat(reason(check(false))).contains(Reason.UNKNOWN_KEY);
        assertThat(reason(check(false, "key-1", "key-1"))).contains(Reason.UNKNOWN_KEY);
    }

    @Test
    void openRouteNeedsNoKey() {
        age = Optional.empty();
        assertThat(reason(check(true))).isEmpty();
        assertThat(reason(check(true, "key-2"))).isEmpty();
    }

    @Test
    void withoutOrganisationsNoKeyIsNeeded() {
        age = Optional.empty();
        assertThat(access.check(OrganisationTable.empty(), false, ImmutableList.of())
                        .refusal())
                .isEmpty();
    }

    /**
     * Guards against a partitioned VM that keeps serving a revoked key, and against a VM, just started, that answers
     * 401 to a key issued while it could not learn of it. A node that can't know must report that the request has not
     * run.
     */
    @Test
    void nodeWithoutTheNewestConfigurationCannotJudgeAnyKey() {
        for (Optional<Long> unknown : List.of(Optional.<Long>empty(), Optional.of(BOUND.toNanos()))) {
            age = unknown;
            for (String key : List.of("key-1", "key-2")) {
                CallResult refusal = check(false, key).refusal().orElseThrow();
                assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
                assertThat(refusal.reason()).contains(Reason.KEYS_UNCERTAIN);
                assertThat(refusal.retryAfterMillis()).isPositive();
            }
        }
        age = Optional.of(BOUND.toNanos() - SECOND);
        assertThat(reason(check(false, "key-1"))).isEmpty();
    }

    @Test
    void withoutABoundKeysAreValidAtAnyAge() {
        CallerAccess unbounded = CallerAccess.create(Optional::empty, Optional.empty());
        assertThat(unbounded.check(TABLE, false, ImmutableList.of("key-1")).organisation())
                .contains(GENT);
    }
}

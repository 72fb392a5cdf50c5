package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What truly ran in a seeded run, and what callers were told; keeps the first promise that was broken. */
final class RunLedger {

    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    private final Map<String, CallResult> last = new HashMap<>();
    private Optional<String> broken = Optional.empty();

    void ran(String key) {
        check(runs.merge(key, 1, Integer::sum) == 1, key + " ran twice");
        check(!refused.contains(key), key + " ran after NOT_RUN was told");
    }

    int runs(String key) {
        return runs.getOrDefault(key, 0);
    }

    /** What was told last about the key. */
    CallResult last(String key) {
        return last.get(key);
    }

    void told(String key, String expectedAnswer, CallResult result) {
        last.put(key, result);
        outcomes.merge(result.outcome(), 1, Integer::sum);
        if (result.outcome() == Outcome.NOT_RUN) {
            refused.add(key);
            check(!runs.containsKey(key), "NOT_RUN was told though " + key + " ran: " + result);
        }
        result.answer().ifPresent(answer -> {
            check(runs.containsKey(key), key + " was answered though it never ran");
            check(answer.body().toStringUtf8().equals(expectedAnswer), key + " got another request's answer");
        });
    }

    int count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** Notes what broke; an exception would be lost in some callback. */
    void check(boolean holds, String what) {
        if (!holds && broken.isEmpty()) {
            broken = Optional.of(what);
        }
    }

    Optional<String> broken() {
        return broken;
    }
}

package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Records which requests ran in a randomised run and which results callers got; keeps the first violated invariant. */
final class RunLedger {

    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    private final Map<String, CallResult> last = new HashMap<>();
    private Optional<String> violation = Optional.empty();

    void recordRun(String key) {
        check(runs.merge(key, 1, Integer::sum) == 1, key + " ran twice");
        check(!refused.contains(key), key + " ran after NOT_RUN was returned");
    }

    int runs(String key) {
        return runs.getOrDefault(key, 0);
    }

    /** Result most recently returned for the key. */
    CallResult lastResult(String key) {
        return last.get(key);
    }

    void recordResult(String key, String expectedAnswer, CallResult result) {
        last.put(key, result);
        outcomes.merge(result.outcome(), 1, Integer::sum);
        if (result.outcome() == Outcome.NOT_RUN) {
            refused.add(key);
            check(!runs.containsKey(key), "NOT_RUN was returned although " + key + " ran: " + result);
        }
        result.answer().ifPresent(answer -> {
            check(runs.containsKey(key), key + " was answered although it never ran");
            check(
                    answer.body().toStringUtf8().equals(expectedAnswer),
                    key + " was answered with another request's answer");
        });
    }

    int count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** Records a violation. An exception would be lost, because checks run in callbacks. */
    void check(boolean holds, String message) {
        if (!holds && violation.isEmpty()) {
            violation = Optional.of(message);
        }
    }

    Optional<String> violation() {
        return violation;
    }
}

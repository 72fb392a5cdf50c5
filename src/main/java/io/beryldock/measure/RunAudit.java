package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import io.beryldock.measure.UserRequest.Verdict;
import io.beryldock.standin.RunRecord;
import io.beryldock.standin.StandinTarget;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds what callers were told against what the targets really ran.
 *
 * <p>Immutable.
 *
 * @param doubleRuns non-idempotent requests that ran more than once
 * @param notRunButRan requests whose every attempt was told NOT_RUN and of which something ran
 * @param crossedAnswers answers to another request, or without all their parts
 * @param executedRetriesMax most repeated runs in the tree of one attempt of a caller
 * @param wastedWorkShare slot time spent for requests that did not complete, as a share of all
 */
record RunAudit(
        long doubleRuns, long notRunButRan, long crossedAnswers, long executedRetriesMax, double wastedWorkShare) {

    static RunAudit of(List<UserRequest> requests, List<StandinTarget> targets) {
        Map<String, UserRequest> byToken = new HashMap<>();
        requests.forEach(request -> byToken.put(request.token(), request));
        ImmutableList<RunRecord> runs = targets.stream()
                .flatMap(target -> target.runs().all().stream())
                .filter(run -> byToken.containsKey(run.rootEcho()))
                .collect(ImmutableList.toImmutableList());
        return new RunAudit(
                doubleRuns(byToken, runs),
                notRunButRan(requests, runs),
                crossed(requests),
                retries(byToken, runs),
                wasted(byToken, targets));
    }

    private static long doubleRuns(Map<String, UserRequest> byToken, List<RunRecord> runs) {
        Map<String, Integer> counts = new HashMap<>();
        runs.stream()
                .filter(run -> !run.method().equals("GET") && byToken.containsKey(run.echo()))
                .forEach(run -> counts.merge(run.echo(), 1, Integer::sum));
        return counts.values().stream().filter(count -> count > 1).count();
    }

    private static long notRunButRan(List<UserRequest> requests, List<RunRecord> runs) {
        Set<String> ran = new HashSet<>();
        runs.forEach(run -> ran.add(run.rootEcho()));
        return requests.stream()
                .filter(request -> request.attempts() > 0)
                .filter(request -> request.verdicts().stream().allMatch(verdict -> verdict == Verdict.NOT_RUN))
                .filter(request -> ran.contains(request.token()))
                .count();
    }

    private static long crossed(List<UserRequest> requests) {
        return requests.stream()
                .flatMap(request -> request.verdicts().stream())
                .filter(verdict -> verdict == Verdict.CROSSED || verdict == Verdict.INCOMPLETE)
                .count();
    }

    private static long retries(Map<String, UserRequest> byToken, List<RunRecord> runs) {
        Map<String, Integer> runsOfCall = new HashMap<>();
        Map<String, Integer> repeated = new HashMap<>();
        for (RunRecord run : runs) {
            boolean again = runsOfCall.merge(run.path() + " " + run.echo(), 1, Integer::sum) > 1;
            if (again && byToken.get(run.rootEcho()).attempts() == 1) {
                repeated.merge(run.rootEcho(), 1, Integer::sum);
            }
        }
        return repeated.values().stream().mapToLong(Integer::longValue).max().orElse(0);
    }

    private static double wasted(Map<String, UserRequest> byToken, List<StandinTarget> targets) {
        double all = 0;
        double lost = 0;
        for (StandinTarget target : targets) {
            for (Map.Entry<String, Long> spent : target.runs().slotNanosByRoot().entrySet()) {
                UserRequest request = byToken.get(spent.getKey());
                if (request == null) {
                    continue;
                }
                all += spent.getValue();
                lost += request.isComplete() ? 0 : spent.getValue();
            }
        }
        return all == 0 ? 0 : lost / all;
    }
}

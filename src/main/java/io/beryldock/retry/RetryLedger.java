package io.beryldock.retry;

import io.beryldock.call.RequestId;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * The retry accounts of all calls that are under way at one node.
 *
 * <p>A call opens an account with the allowance that came with it; inner calls made within its run find the account by
 * the call's id, take retries from it and hand parts of it on. Invariant over the whole call tree: retries taken never
 * exceed the root's allowance, as every part is in exactly one place: spent, held, granted to a child or lost.
 *
 * <p>Thread safe. An account is dropped when it is closed, so whoever opens one closes it on every way out.
 */
public final class RetryLedger {

    /** Ended calls whose ids are remembered, so that a late duplicate opens nothing. */
    static final int REMEMBERED_CALLS = 4096;

    private final ConcurrentMap<RequestId, RetryAccount> accounts = new ConcurrentHashMap<>();
    private final RecentCalls closed = new RecentCalls(REMEMBERED_CALLS);
    private final AtomicLong violations = new AtomicLong();
    private final AtomicLong rejectedReturns = new AtomicLong();
    private final EventSink events;
    private final Supplier<SettleGuard> guards;

    private RetryLedger(EventSink events, Supplier<SettleGuard> guards) {
        this.events = events;
        this.guards = guards;
    }

    public static RetryLedger create() {
        return create(EventSink.none());
    }

    public static RetryLedger create(EventSink events) {
        return new RetryLedger(events, SettleGuard::once);
    }

    /** A ledger whose grants are settled under another guard; for tests that break it on purpose. */
    static RetryLedger withGuard(Supplier<SettleGuard> guards) {
        return new RetryLedger(EventSink.none(), guards);
    }

    /**
     * Opens the account of a call.
     *
     * <p>Guards against a duplicated call message, which would double the allowance: the second account for an id that
     * is open, or was closed not long ago, holds nothing and is found by nobody.
     */
    public RetryAccount open(RequestId call, int allowance) {
        if (closed.contains(call)) {
            return new RetryAccount(this, call, 0);
        }
        RetryAccount account = new RetryAccount(this, call, Math.max(0, allowance));
        RetryAccount first = accounts.putIfAbsent(call, account);
        return first == null ? account : new RetryAccount(this, call, 0);
    }

    /** The open account of the call; empty once it is closed, so that late inner calls get no retry. */
    public Optional<RetryAccount> find(RequestId call) {
        return Optional.ofNullable(accounts.get(call));
    }

    /** Number of accounts open now. */
    public int openAccounts() {
        return accounts.size();
    }

    /** How often an account was found not to add up; anything but 0 is a fault of this program. */
    public long violations() {
        return violations.get();
    }

    /** How often a part came back twice, after its account was closed, or larger than it was granted. */
    public long rejectedReturns() {
        return rejectedReturns.get();
    }

    SettleGuard newGuard() {
        return guards.get();
    }

    void drop(RequestId call, RetryAccount account) {
        closed.add(call);
        accounts.remove(call, account);
    }

    void countRejectedReturn() {
        rejectedReturns.incrementAndGet();
    }

    void countViolation(RequestId call, String detail) {
        violations.incrementAndGet();
        events.record(EventKind.INVARIANT_BROKEN, Optional.of(call), "retry allowance", detail);
    }
}

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
 * The retry accounts of all calls that are running at one node.
 *
 * <p>A call opens an account with the allowance that it carries. Inner calls made by its run find the account by the
 * call's id, take retries from it and pass grants on to their own callees. Invariant over the whole call tree: the
 * retries taken never exceed the allowance of the root, because each retry is counted in exactly one place: spent,
 * held, granted to a child or lost.
 *
 * <p>Thread safe. An account is removed when it is closed, so the code that opens an account must close it on every
 * path.
 */
public final class RetryLedger {

    /** Number of closed accounts whose call ids are kept, so that a late duplicate of a call gets no allowance. */
    static final int MAX_CLOSED_IDS = 4096;

    private final ConcurrentMap<RequestId, RetryAccount> accounts = new ConcurrentHashMap<>();
    private final RecentCalls closedCalls = new RecentCalls(MAX_CLOSED_IDS);
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

    /** Creates a ledger with another settlement guard, for tests that break the invariant on purpose. */
    static RetryLedger withGuard(Supplier<SettleGuard> guards) {
        return new RetryLedger(EventSink.none(), guards);
    }

    /**
     * Opens the account of a call.
     *
     * <p>Guards against a duplicated call message, which would double the allowance: if an account with this id is open
     * or was closed recently, the new account is empty and {@link #find} doesn't return it.
     */
    public RetryAccount open(RequestId call, int allowance) {
        if (closedCalls.contains(call)) {
            return new RetryAccount(this, call, 0);
        }
        RetryAccount account = new RetryAccount(this, call, Math.max(0, allowance));
        RetryAccount existing = accounts.putIfAbsent(call, account);
        return existing == null ? account : new RetryAccount(this, call, 0);
    }

    /** The open account of the call; empty once it is closed, so that late inner calls get no retries. */
    public Optional<RetryAccount> find(RequestId call) {
        return Optional.ofNullable(accounts.get(call));
    }

    /** Number of open accounts. */
    public int openAccounts() {
        return accounts.size();
    }

    /** How often an account did not balance; any value above 0 is a bug in this program. */
    public long violations() {
        return violations.get();
    }

    /** How often a grant was returned twice, after its account was closed, or with more retries than it had. */
    public long rejectedReturns() {
        return rejectedReturns.get();
    }

    SettleGuard newGuard() {
        return guards.get();
    }

    void onClosed(RequestId call, RetryAccount account) {
        closedCalls.add(call);
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

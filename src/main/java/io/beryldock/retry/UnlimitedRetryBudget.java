package io.beryldock.retry;

/** Grants all retries. Stateless, thread safe. */
enum UnlimitedRetryBudget implements RetryBudget {
    INSTANCE;

    @Override
    public void onFirstTry() {}

    @Override
    public void onRepeat() {}

    @Override
    public boolean tryRetry(int rank) {
        return true;
    }

    @Override
    public void refund() {}

    @Override
    public int available() {
        return Integer.MAX_VALUE;
    }
}

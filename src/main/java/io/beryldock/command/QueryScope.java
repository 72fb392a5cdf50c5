package io.beryldock.command;

/** Whom a node that gets a query asks; the number is its form on the wire and never changes. */
enum QueryScope {
    /** Only itself. */
    NODE(0),
    /** All nodes of its data centre. */
    DATA_CENTRE(1);

    private final int number;

    QueryScope(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    static QueryScope of(int number) {
        return number == DATA_CENTRE.number ? DATA_CENTRE : NODE;
    }
}

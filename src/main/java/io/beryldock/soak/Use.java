package io.beryldock.soak;

/** What a request is for. */
public enum Use {
    /** A caller's request that must not run twice. */
    ORDER("back", false),
    /** A caller's request within whose run an inner call is made. */
    BROWSE("front", true),
    /** The inner call of a browse. */
    PART("back", true),
    /** Asks a node whether it knows a version of the operators' document. */
    PROBE("back", true);

    private final String service;
    private final boolean idempotent;

    Use(String service, boolean idempotent) {
        this.service = service;
        this.idempotent = idempotent;
    }

    /** The service that answers it. */
    public String service() {
        return service;
    }

    public boolean idempotent() {
        return idempotent;
    }
}

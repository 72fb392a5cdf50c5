package io.beryldock.soak;

/** What a proxy does with the connections through it. */
enum LinkState {
    OPEN,
    DELAYED,
    /** Connections are reset, new ones too. */
    RESET,
    /** Bytes go forth and none comes back; they wait, as TCP would send them again. */
    CUT_ONE_WAY,
    /** No byte passes either way; new connections are taken and stay silent. */
    SILENT
}

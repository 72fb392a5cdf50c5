package io.beryldock.platform;

import com.google.common.collect.ImmutableList;
import io.beryldock.soak.ResponseFault;

/** What is wrong with one response of a soak target. */
enum SoakDefect {
    /** The response is sound. */
    NONE(true),
    /** A copy arrives where the response to the next request is expected. */
    COPIED_LATE(ResponseFault.REPEATED, true),
    COPIED_LATE_TWICE(ResponseFault.REPEATED, true),
    COPIED_AT_ONCE(ResponseFault.REPEATED, true),
    /** Some interim responses precede the final one. */
    INTERIM_FIRST(ResponseFault.BROKEN, true),
    /** A refusal does not name its request. */
    WITHOUT_ID(ResponseFault.BROKEN, false),
    /** The status of a refusal without its mark, whether the request has run or not. */
    WITHOUT_MARK(ResponseFault.BROKEN, false),
    CUT_OFF(ResponseFault.BROKEN, false),
    RESET(ResponseFault.BROKEN, false),
    NOT_HTTP(ResponseFault.BROKEN, false),
    SILENT(ResponseFault.BROKEN, false),
    ENDLESS_BLANK_LINES(ResponseFault.ENDLESS, false),
    ENDLESS_HEADERS(ResponseFault.ENDLESS, false),
    ENDLESS_HEADER_VALUE(ResponseFault.ENDLESS, false),
    ENDLESS_INTERIM_RESPONSES(ResponseFault.ENDLESS, false),
    ENDLESS_RESPONSES_TO_ANOTHER(ResponseFault.ENDLESS, false),
    ENDLESS_BODY_TO_ANOTHER(ResponseFault.ENDLESS, false),
    ENDLESS_BODY(ResponseFault.ENDLESS, false),
    ENDLESS_BODY_WITHOUT_LENGTH(ResponseFault.ENDLESS, false),
    ENDLESS_TINY_CHUNKS(ResponseFault.ENDLESS, false),
    ENDLESS_CHUNK_EXTENSION(ResponseFault.ENDLESS, false),
    ENDLESS_TRAILERS(ResponseFault.ENDLESS, false),
    /** The response is sound, and bytes without end follow it. */
    ENDLESS_BEHIND(ResponseFault.ENDLESS, false);

    private static final ImmutableList<SoakDefect> ALL = ImmutableList.copyOf(values());

    private final ResponseFault fault;
    private final boolean readable;

    SoakDefect(boolean readable) {
        this(null, readable);
    }

    SoakDefect(ResponseFault fault, boolean readable) {
        this.fault = fault;
        this.readable = readable;
    }

    /** The defects by which the fault shows. */
    static ImmutableList<SoakDefect> of(ResponseFault fault) {
        return ALL.stream().filter(defect -> defect.fault == fault).collect(ImmutableList.toImmutableList());
    }

    boolean isEndless() {
        return fault == ResponseFault.ENDLESS;
    }

    /** Whether the caller can be expected to learn what the headers of the response name. */
    boolean isReadable() {
        return readable;
    }
}

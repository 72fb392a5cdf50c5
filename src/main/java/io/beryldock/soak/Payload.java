package io.beryldock.soak;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** The bodies of answers: each follows from its request, so that a foreign, old or cut one is seen. Stateless. */
public final class Payload {

    /** Longest filling: more than fits into one packet or one buffer. */
    private static final int MAX_FILLING = 40_000;

    private Payload() {}

    /** The whole answer to the request. */
    public static String answer(String id, String body) {
        return id + ":" + digest(body) + ":" + "a".repeat(Math.floorMod(digest(id), MAX_FILLING)) + ":end";
    }

    static int digest(String text) {
        return Hashing.crc32c().hashString(text, StandardCharsets.UTF_8).asInt();
    }
}

package rig;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. */
public final class Wire {

    private Wire() {}

    /** A message: its first line, its headers with lower-case names, and its body. */
    public record Message(String first, Map<String, String> headers, byte[] body) {

        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Reads a message whose body has a length or comes in chunks; null if the stream ends before its first byte. */
    public static Message read(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String next = line(in, false); !next.isEmpty(); next = line(in, false)) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = size(in); size > 0; size = size(in)) {
                body.write(exactly(in, size));
                line(in, false);
            }
            line(in, false);
            return new Message(first, headers, body.toByteArray());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Message(first, headers, exactly(in, length));
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).trim(), 16);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body has " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (mayEnd && text.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ended within a line");
            }
            text.write(next);
        }
        return text.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }
}

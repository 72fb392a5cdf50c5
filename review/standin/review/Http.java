package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 messages on plain sockets, for the stand-ins. */
final class Http {

    private Http() {}

    /** A request or a response; {@code complete} tells whether its framing was satisfied. */
    static final class Message {
        String startLine = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        String word(int index) {
            String[] words = startLine.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        /** The status of a response; -1 if the bytes are no response. */
        int status() {
            return startLine.matches("HTTP/1\\.1 [1-9][0-9][0-9]( .*)?") ? Integer.parseInt(word(1)) : -1;
        }
    }

    static BufferedInputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16 << 10);
    }

    /** Reads a message; null if the connection ended before its first byte. An incomplete body is kept as it came. */
    static Message read(InputStream in, boolean response) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = line;
        for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                return message;
            }
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
        if (line == null) {
            return message;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            message.complete = readBody(in, message, body, response);
        } catch (IOException e) {
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static boolean readBody(InputStream in, Message message, ByteArrayOutputStream body, boolean response)
            throws IOException {
        String encoding = message.header("Transfer-Encoding");
        String length = message.header("Content-Length");
        if (encoding != null && encoding.equalsIgnoreCase("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    return false;
                }
                int bytes = Integer.parseInt(size.trim(), 16);
                if (bytes == 0) {
                    for (String end = line(in); end != null && !end.isEmpty(); end = line(in)) {}
                    return true;
                }
                if (!copy(in, body, bytes)) {
                    return false;
                }
                line(in);
            }
        }
        if (length != null) {
            return copy(in, body, Integer.parseInt(length));
        }
        return !response || copy(in, body, Integer.MAX_VALUE) || true;
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream to, int bytes) throws IOException {
        byte[] buffer = new byte[8192];
        int left = bytes;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(buffer.length, left));
            if (read < 0) {
                return false;
            }
            to.write(buffer, 0, read);
            left -= read;
        }
        return true;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}

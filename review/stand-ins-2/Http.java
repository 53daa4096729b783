import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Reads and writes HTTP/1.1 messages on plain sockets. Stateless and thread safe. */
final class Http {
    private Http() {}

    /** A header field, with its name as it was sent. */
    record Field(String name, String value) {}

    /**
     * A request or a response.
     *
     * @param startLine request line or status line
     * @param whole whether the message ended as its framing requires
     */
    record Message(String startLine, List<Field> fields, byte[] body, boolean whole) {
        Optional<String> header(String name) {
            return fields.stream()
                    .filter(field -> field.name().equalsIgnoreCase(name))
                    .map(Field::value)
                    .findFirst();
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the start line and the header fields; returns empty if the connection ended before the first byte. */
    static Optional<Message> readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return Optional.empty();
        }
        List<Field> fields = new ArrayList<>();
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new IOException("the connection ended inside a head");
            }
            int colon = line.indexOf(':');
            fields.add(new Field(line.substring(0, colon), line.substring(colon + 1).trim()));
        }
        return Optional.of(new Message(startLine, fields, new byte[0], true));
    }

    /** Reads a whole request; returns empty if the connection ended before the first byte. */
    static Optional<Message> readRequest(InputStream in) throws IOException {
        Optional<Message> head = readHead(in);
        return head.isEmpty() ? head : Optional.of(withBody(head.get(), in, false));
    }

    /** Reads a whole response. */
    static Message readResponse(InputStream in) throws IOException {
        Message head = readHead(in).orElseThrow(() -> new IOException("the connection ended before a response"));
        return withBody(head, in, true);
    }

    private static Message withBody(Message head, InputStream in, boolean response) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = true;
        if (head.header("Transfer-Encoding").orElse("").toLowerCase(Locale.ROOT).contains("chunked")) {
            whole = readChunks(in, body);
        } else if (head.header("Content-Length").isPresent()) {
            int length = Integer.parseInt(head.header("Content-Length").get());
            byte[] bytes = in.readNBytes(length);
            body.writeBytes(bytes);
            whole = bytes.length == length;
        } else if (response && head.status() != 204 && head.status() != 304) {
            body.writeBytes(in.readAllBytes());
        }
        return new Message(head.startLine(), head.fields(), body.toByteArray(), whole);
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                return false;
            }
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (length == 0) {
                String trailer = readLine(in);
                while (trailer != null && !trailer.isEmpty()) {
                    trailer = readLine(in);
                }
                return trailer != null;
            }
            byte[] bytes = in.readNBytes(length);
            body.writeBytes(bytes);
            if (bytes.length < length || readLine(in) == null) {
                return false;
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** Encodes a message with its fields, the length of its body and the body. */
    static byte[] encode(String startLine, List<Field> fields, byte[] body) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        fields.forEach(field -> head.append(field.name()).append(": ").append(field.value()).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }
}

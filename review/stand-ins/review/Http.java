package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 reader and client on blocking sockets. Stateless and thread safe. */
final class Http {
    private static final int CONNECT_MILLIS = 1000;
    private static final int MAXIMUM_LINE = 64 * 1024;

    private Http() {}

    /** A message without its body; the names of the fields are in lower case. */
    record Head(String firstLine, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String path() {
            return firstLine.split(" ")[1];
        }
    }

    /** A complete response. */
    record Response(Head head, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head; returns null if the connection ended before its first byte. */
    static Head readHead(InputStream input) throws IOException {
        String first = readLine(input, true);
        while (first != null && first.isEmpty()) {
            first = readLine(input, true);
        }
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(input, false); !line.isEmpty(); line = readLine(input, false)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Head(first, fields);
    }

    /** Reads a body that has a length or is chunked; empty if it has neither. */
    static byte[] readBody(InputStream input, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            for (byte[] chunk = readChunk(input); chunk.length > 0; chunk = readChunk(input)) {
                body.writeBytes(chunk);
            }
            return body.toByteArray();
        }
        if (!head.field("content-length").isEmpty()) {
            int length = Integer.parseInt(head.field("content-length"));
            byte[] bytes = input.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("the body was cut");
            }
            return bytes;
        }
        return new byte[0];
    }

    /** Reads one chunk; empty after the last one. Throws an {@link EOFException} if the connection ends inside. */
    static byte[] readChunk(InputStream input) throws IOException {
        int length = Integer.parseInt(readLine(input, false).split(";")[0].trim(), 16);
        byte[] chunk = input.readNBytes(length);
        if (chunk.length < length) {
            throw new EOFException("a chunk was cut");
        }
        readLine(input, false);
        return chunk;
    }

    /** Sends a request on a new connection and reads the whole response. */
    static Response call(String address, String method, String path, String body, int timeoutMillis)
            throws IOException {
        try (Socket socket = connect(address, timeoutMillis)) {
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + address
                    + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + content.length
                    + "\r\n\r\n";
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(content);
            socket.getOutputStream().write(message.toByteArray());
            Head response = readHead(socket.getInputStream());
            if (response == null) {
                throw new EOFException("no response");
            }
            return new Response(response, readBody(socket.getInputStream(), response));
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                CONNECT_MILLIS);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    private static String readLine(InputStream input, boolean endAllowed) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (endAllowed && line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line was cut");
            }
            line.write(next);
            if (line.size() > MAXIMUM_LINE) {
                throw new IOException("a line is too long");
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}

import java.io.BufferedInputStream;
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

/** The little of HTTP/1.1 that clients, workers and the operator need here. */
final class Http {
    private static final int CONNECT_MILLIS = 1000;
    private static final int READ_MILLIS = 20_000;

    private Http() {}

    /** A head: the first line and the header fields, with names in lower case. */
    record Head(String firstLine, Map<String, String> fields) {
        String word(int index) {
            return firstLine.split(" ")[index];
        }

        int status() {
            return Integer.parseInt(word(1));
        }
    }

    /** Sends a call on a connection of its own; returns the status, or 0 if there is no answer. */
    static int status(String ip, int port, String method, String path, Map<String, String> fields, String body) {
        try (Socket socket = connect(ip, port)) {
            send(socket, method, path, fields, body);
            return readHead(new BufferedInputStream(socket.getInputStream())).status();
        } catch (IOException exception) {
            return 0;
        }
    }

    static Socket connect(String ip, int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(ip, port), CONNECT_MILLIS);
        socket.setSoTimeout(READ_MILLIS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static void send(Socket socket, String method, String path, Map<String, String> fields, String body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        if (!fields.containsKey("Host")) {
            head.append("Host: ").append(socket.getInetAddress().getHostAddress()).append("\r\n");
        }
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(bytes.length).append("\r\n");
        }
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(bytes);
        socket.getOutputStream().write(message.toByteArray());
    }

    static Head readHead(InputStream input) throws IOException {
        String first = readLine(input);
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Head(first, fields);
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended inside a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body that has a length or comes in chunks; fails if it is cut. */
    static byte[] readBody(InputStream input, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.fields().get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(input); chunk.length > 0; chunk = readChunk(input)) {
                body.writeBytes(chunk);
            }
            return body.toByteArray();
        }
        return readExactly(input, Integer.parseInt(head.fields().getOrDefault("content-length", "0")));
    }

    /** Reads one chunk; an empty one ends the body. */
    static byte[] readChunk(InputStream input) throws IOException {
        int size = Integer.parseInt(readLine(input).trim(), 16);
        byte[] chunk = readExactly(input, size);
        readLine(input);
        return chunk;
    }

    private static byte[] readExactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }
}

package org.basilrill.transport.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller that sends raw bytes, so that tests can violate HTTP. Not thread safe. */
final class RawHttp implements AutoCloseable {
    /** Fails a test that would hang otherwise. No passing test waits for this timeout. */
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;
    private final InputStream input;
    private final OutputStream output;

    RawHttp(int port) throws IOException {
        this(port, 0);
    }

    RawHttp(int port, int receiveBufferBytes) throws IOException {
        socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream(), 1024);
        output = socket.getOutputStream();
    }

    static String request(String method, String path, String key, String extraHeaders, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: localhost\r\n"
                + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n") + extraHeaders + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void send(byte[] bytes) throws IOException {
        output.write(bytes);
        output.flush();
    }

    /** Ends the sending side of the connection; responses can still be read. */
    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Reads a response head; returns an empty string at the end of the connection. */
    String readHead() throws IOException {
        return readHead(input);
    }

    /** Reads one chunk of a body; returns an empty string for the last one. */
    String readChunk() throws IOException {
        String size = readLine(input);
        if (size.isEmpty()) {
            throw new IOException("the connection ended within a chunked body");
        }
        byte[] chunk = input.readNBytes(Integer.parseInt(size.trim(), 16));
        readLine(input);
        return new String(chunk, StandardCharsets.UTF_8);
    }

    /** Reads a whole body, either chunked or of the length stated in its head. */
    String readBody(String head) throws IOException {
        if (!head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
            return new String(input.readNBytes(contentLength(head)), StandardCharsets.UTF_8);
        }
        StringBuilder body = new StringBuilder();
        for (String chunk = readChunk(); !chunk.isEmpty(); chunk = readChunk()) {
            body.append(chunk);
        }
        return body.toString();
    }

    /** Reads one response and returns its head and body. */
    String readResponse() throws IOException {
        String head = readHead();
        return head + readBody(head);
    }

    /** Waits for the next byte and returns whether the connection ended or was reset instead. */
    boolean isAtEndOfStream() throws IOException {
        try {
            return input.read() < 0;
        } catch (SocketException reset) {
            return true;
        }
    }

    int read() throws IOException {
        return input.read();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            head.append(line);
            if (line.equals("\r\n")) {
                break;
            }
        }
        return head.toString();
    }

    static int contentLength(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).trim());
            }
        }
        return 0;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            line.write(next);
            if (next == '\n') {
                break;
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}

package org.basilrill.transport.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** A target on loopback that sends the raw bytes of a test script. The script runs once per request. */
final class RawTarget implements AutoCloseable {
    private final ServerSocket server;
    private final boolean readsBodies;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

    RawTarget(Script script) throws IOException {
        this(true, script);
    }

    /**
     * Creates a target.
     *
     * @param readsBodies whether the body of a request is read before the script runs, or left to the script
     */
    RawTarget(boolean readsBodies, Script script) throws IOException {
        this.readsBodies = readsBodies;
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    /** Responds to one request; the connection is closed if it throws. */
    @FunctionalInterface
    interface Script {
        void respond(Exchange exchange) throws IOException, InterruptedException;
    }

    /** One request with the socket and the streams of its connection. */
    record Exchange(String head, byte[] body, InputStream input, OutputStream output, Socket socket) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return "";
        }

        void send(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.UTF_8));
            output.flush();
        }

        /** Sends each character as the byte of its number. */
        void sendBytes(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        /** Ends the connection at once; discards what was not sent yet. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits until the other side closes or resets the connection. */
        void awaitClose() {
            try {
                input.read();
            } catch (IOException reset) {
                // The connection was reset.
            }
        }

        void startStream() throws IOException {
            send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: "
                    + header("x-request-id") + "\r\n\r\n");
        }

        void chunk(String text) throws IOException {
            send(Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
        }

        void endStream() throws IOException {
            send("0\r\n\r\n");
        }

        void respond(int status, String text) throws IOException {
            send("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                    + text.getBytes(StandardCharsets.UTF_8).length + "\r\nX-Request-Id: " + header("x-request-id")
                    + "\r\n\r\n" + text);
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Returns the heads and bodies of all requests received so far, in order of arrival. */
    List<String> requests() {
        return new ArrayList<>(requests);
    }

    int connections() {
        return sockets.size();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String head = RawHttp.readHead(input);
                if (head.isEmpty()) {
                    return;
                }
                byte[] body = readsBodies ? input.readNBytes(RawHttp.contentLength(head)) : new byte[0];
                requests.add(head + new String(body, StandardCharsets.UTF_8));
                script.respond(new Exchange(head, body, input, socket.getOutputStream(), socket));
            }
        } catch (IOException closed) {
            // The instance or the test closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw-target");
        thread.setDaemon(true);
        thread.start();
    }
}

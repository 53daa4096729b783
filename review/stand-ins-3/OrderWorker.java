import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * A sound worker of a plain service. It answers each request with 800 bytes after some work, and sends heartbeats.
 */
final class OrderWorker {
    private static final int HEARTBEAT_MILLIS = 1200;
    private static final int BODY_BYTES = 800;
    private static final byte[] BODY = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1);

    private final String id;
    private final String service;
    private final List<String> control;
    private final int workMillis;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private final Set<String> received = ConcurrentHashMap.newKeySet();

    /**
     * Starts a worker.
     *
     * @param workMillis how long it works on a request
     */
    OrderWorker(String id, String service, String ip, List<String> control, int workMillis) throws IOException {
        this.id = id;
        this.service = service;
        this.control = control;
        this.workMillis = workMillis;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
        daemon(this::accept);
        daemon(this::sendHeartbeats);
    }

    /** Returns whether a request has reached this worker and was run. */
    boolean hasRun(String requestId) {
        return received.contains(requestId);
    }

    /** Returns the address at which this worker serves. */
    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void sendHeartbeats() {
        for (int sequence = 1; ; sequence++) {
            String[] address = control.get(sequence % control.size()).split(":");
            String body = String.format(
                    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":64,"
                            + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":%d,\"sequence\":%d}",
                    service, address(), born, sequence);
            Http.status(
                    address[0],
                    Integer.parseInt(address[1]),
                    "POST",
                    "/Instances.Heartbeat/" + id,
                    Map.of("Content-Type", "application/json"),
                    body);
            LockSupport.parkNanos(HEARTBEAT_MILLIS * 1_000_000L);
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                daemon(() -> serve(connection));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedInputStream input = new BufferedInputStream(connection.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(input);
                Http.readBody(input, head);
                respond(head, connection.getOutputStream());
            }
        } catch (IOException exception) {
            // The other end closed the connection.
        }
    }

    private void respond(Http.Head head, OutputStream output) throws IOException {
        String requestId = head.fields().get("request-id");
        if (requestId == null || !id.equals(head.fields().get("expect-instance"))) {
            String status = requestId == null ? "400 Bad Request\r\nNot-Executed: 1" : "421 Misdirected Request\r\nInstance-Id: " + id;
            output.write(("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        received.add(requestId);
        LockSupport.parkNanos(workMillis * 1_000_000L);
        String text = "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nServer-Stamp: " + id + "." + requestId
                + "\r\nServer-Load: 1,0,64\r\n" + "Content-Length: " + BODY_BYTES
                + "\r\n\r\n";
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(BODY);
        output.write(message.toByteArray());
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}

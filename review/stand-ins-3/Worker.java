import java.io.BufferedInputStream;
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
import java.util.concurrent.atomic.AtomicLong;

/**
 * A worker of a service without models that answers each request with a stream of events. It rejects requests that
 * expect another instance, echoes the request's id, goes on after Last-Event-Id and sends heartbeats. It is sound
 * except for what the case makes it do.
 */
final class Worker {
    static final int HEARTBEAT_MILLIS = 1200;
    private static final int EVENTS = 60;
    private static final int EVENT_MILLIS = 150;

    private final String id;
    private final String service;
    private final String ip;
    private final List<String> control;
    private final Record record;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong sequence = new AtomicLong();
    private volatile ServerSocket listener;
    private volatile int port;
    private volatile String software;
    private volatile long born;
    private volatile boolean announcing;

    Worker(String id, String service, String ip, List<String> control, Record record) {
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.control = control;
        this.record = record;
    }

    /** Starts to listen, at the same port as before if it has run before, as a new incarnation under the same id. */
    void start(String version) throws IOException {
        software = version;
        born = System.currentTimeMillis();
        sequence.set(0);
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 128);
        port = opened.getLocalPort();
        listener = opened;
        daemon(() -> accept(opened, version));
        record.add("worker " + id + " starts, software " + version);
    }

    /** Ends as a process does that is killed: the listener and all connections are closed. */
    void crash() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        connections.clear();
        record.add("worker " + id + " ends, software " + software);
    }

    /** Begins to send heartbeats. */
    void announce() {
        announcing = true;
        daemon(this::sendHeartbeats);
    }

    /** Sends no heartbeats until {@link #announce} is called again. */
    void fallSilent() {
        announcing = false;
    }

    private void sendHeartbeats() {
        int next = 0;
        while (announcing) {
            String[] address = control.get(next % control.size()).split(":");
            String body = String.format(
                    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-1\",\"version\":\"%s\",\"slots\":64,"
                            + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":%d,\"sequence\":%d}",
                    service, ip, port, software, born, sequence.incrementAndGet());
            int status = Http.status(
                    address[0],
                    Integer.parseInt(address[1]),
                    "POST",
                    "/Instances.Heartbeat/" + id,
                    Map.of("Content-Type", "application/json"),
                    body);
            if (status != 200) {
                next++;
            }
            sleep(status == 200 ? HEARTBEAT_MILLIS : 50);
        }
    }

    private void accept(ServerSocket from, String version) {
        while (!from.isClosed()) {
            try {
                Socket connection = from.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                daemon(() -> serve(connection, version));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket connection, String version) {
        try (connection) {
            BufferedInputStream input = new BufferedInputStream(connection.getInputStream());
            OutputStream output = connection.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(input);
                Http.readBody(input, head);
                respond(head, output, version);
            }
        } catch (IOException exception) {
            // The connection was closed by its other end, or this worker has crashed.
        } finally {
            connections.remove(connection);
        }
    }

    private void respond(Http.Head head, OutputStream output, String version) throws IOException {
        String requestId = head.fields().get("request-id");
        String expected = head.fields().get("expect-instance");
        if (head.word(1).equals("/healthz")) {
            write(output, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (expected != null && !expected.equals(id)) {
            write(output, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (requestId == null) {
            write(output, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        int first = Integer.parseInt(head.fields().getOrDefault("last-event-id", "0")) + 1;
        record.add("worker " + id + " (" + version + ") runs request " + requestId + " from event " + first);
        write(
                output,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nServer-Stamp: " + id + "." + requestId
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = first; number <= EVENTS; number++) {
            String event = "id: " + number + "\ndata: " + id + " " + version + "\n\n";
            write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            sleep(EVENT_MILLIS);
        }
        write(output, "0\r\n\r\n");
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static void sleep(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}

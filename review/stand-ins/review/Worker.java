package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * A stand-in for a worker: accepts connections, answers health checks, reports and orders as the platform's pages say,
 * and passes all other requests to a handler. Sends heartbeats to one instance after the other. Thread safe.
 */
final class Worker {
    private static final int HEARTBEAT_MILLIS = 1200;
    private static final int ACKNOWLEDGEMENT_MILLIS = 1000;

    private final String id;
    private final String ip;
    private final int port;
    private final String service;
    private final String model;
    private final int slots;
    private final Handler handler;
    private final Supplier<List<String>> controls;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;
    private volatile Life life;

    /** Answers a request. The connection is closed if it throws. */
    interface Handler {
        void handle(Life life, Http.Head head, byte[] body, InputStream input, OutputStream output)
                throws IOException, InterruptedException;
    }

    /** One incarnation of the worker. */
    final class Life {
        private final String version;
        private final long born = System.currentTimeMillis();
        private final AtomicLong heartbeats = new AtomicLong();
        private final AtomicLong orders = new AtomicLong();
        private volatile String state = "ready";

        private Life(String version) {
            this.version = version;
        }

        String id() {
            return id;
        }

        String version() {
            return version;
        }

        boolean isCurrent() {
            return life == this;
        }
    }

    /**
     * Creates a worker that is not started.
     *
     * @param model the model that it holds; empty for a plain service
     * @param controls addresses that accept heartbeats
     */
    Worker(
            String id,
            String ip,
            int port,
            String service,
            String model,
            int slots,
            Supplier<List<String>> controls,
            Handler handler) {
        this.id = id;
        this.ip = ip;
        this.port = port;
        this.service = service;
        this.model = model;
        this.slots = slots;
        this.controls = controls;
        this.handler = handler;
    }

    String id() {
        return id;
    }

    /** Starts a new incarnation. Its first heartbeat arrives after the delay. */
    void start(String version, long firstHeartbeatMillis) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
        Life started = new Life(version);
        life = started;
        server = opened;
        daemon(() -> accept(opened, started));
        daemon(() -> sendHeartbeats(started, firstHeartbeatMillis));
    }

    /** Ends the incarnation as a crash does: all connections are reset, and new ones are refused. */
    void crash() throws IOException {
        life = null;
        server.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        connections.clear();
    }

    static void respond(OutputStream output, int status, String fields, String body) throws IOException {
        String message = "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
        output.write(message.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private void accept(ServerSocket opened, Life started) {
        while (started.isCurrent()) {
            try {
                Socket connection = opened.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                daemon(() -> serve(connection, started));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket connection, Life started) {
        try (connection) {
            InputStream input = new BufferedInputStream(connection.getInputStream());
            OutputStream output = connection.getOutputStream();
            for (Http.Head head = Http.readHead(input);
                    head != null && started.isCurrent();
                    head = Http.readHead(input)) {
                byte[] body = Http.readBody(input, head);
                answer(started, head, body, input, output);
            }
        } catch (IOException exception) {
            // The caller closed the connection, or the worker has ended.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    private void answer(Life started, Http.Head head, byte[] body, InputStream input, OutputStream output)
            throws IOException, InterruptedException {
        String expected = head.field("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            String echoed = "Request-Id: " + head.field("request-id") + "\r\nNot-Executed: 1\r\n";
            respond(output, 421, echoed, "");
        } else if (head.path().equals("/healthz")) {
            respond(output, 200, "Instance-Id: " + id + "\r\n", "");
        } else if (head.path().equals("/report")) {
            respond(output, 200, "Content-Type: application/json\r\n", report(started));
        } else if (head.path().equals("/order")) {
            order(started, new String(body, StandardCharsets.UTF_8), output);
        } else {
            handler.handle(started, head, body, input, output);
        }
    }

    private String report(Life started) {
        return "{\"stage\":\"both\",\"models\":" + models() + ",\"busy\":false,\"sequence\":" + started.orders.get()
                + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}";
    }

    /** The worker holds the only model of the service, so a load holds already; an unload is refused. */
    private void order(Life started, String text, OutputStream output) throws IOException {
        boolean load = text.contains("\"load\"");
        respond(output, load ? 200 : 409, "Content-Type: application/json\r\n", "{}");
    }

    private String models() {
        return model.isEmpty() ? "[]" : "[{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}]";
    }

    private void sendHeartbeats(Life started, long firstMillis) {
        try {
            Thread.sleep(firstMillis);
            while (started.isCurrent()) {
                sendHeartbeat(started);
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendHeartbeat(Life started) {
        String engine = model.isEmpty() ? "" : "\"stage\":\"both\",\"models\":" + models() + ",";
        String body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port
                + "\",\"zone\":\"zone-1\",\"version\":\"" + started.version + "\",\"slots\":" + slots
                + ",\"state\":\"" + started.state + "\",\"cold_remaining_ms\":0," + engine + "\"born\":" + started.born
                + ",\"sequence\":" + started.heartbeats.incrementAndGet() + "}";
        for (String control : controls.get()) {
            try {
                int status = Http.call(
                                control, "POST", "/Instances.Heartbeat/" + id, body, ACKNOWLEDGEMENT_MILLIS)
                        .head()
                        .status();
                if (status == 200) {
                    return;
                }
            } catch (IOException exception) {
                // The next instance is called.
            }
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }
}

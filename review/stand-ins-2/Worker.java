import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/**
 * A worker as the users' pages describe one: announces itself by heartbeats, answers 421 to requests that expect
 * another worker, echoes request ids and signs its answers. Its service decides about each request. Thread safe.
 */
final class Worker implements AutoCloseable {
    private final String id;
    private final String service;
    private final String zone;
    private final InetSocketAddress address;
    private final int slots;
    private final String healthPath;
    private final IntFunction<String> controls;
    private final int controlCount;
    private final Record record;
    private final Service behaviour;
    private final AtomicInteger sequence = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile String state = "ready";
    private volatile String version = "v1";
    private volatile String extraFields = "";
    private volatile long firstHeartbeatDelayMillis;
    private volatile ServerSocket server;
    private volatile long born;
    private volatile boolean up;

    /** Handles one request that is meant for this worker. */
    @FunctionalInterface
    interface Service {
        /** Writes the response to the connection, or ends the worker. Returns whether the connection stays open. */
        boolean handle(Worker worker, Http.Message request, Socket connection) throws Exception;
    }

    Worker(
            String id,
            String service,
            String zone,
            String host,
            int port,
            int slots,
            Deployment deployment,
            Record record,
            Service behaviour) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.address = new InetSocketAddress(host, port);
        this.slots = slots;
        this.healthPath = "/healthz";
        this.controls = deployment::control;
        this.controlCount = deployment.size();
        this.record = record;
        this.behaviour = behaviour;
    }

    String id() {
        return id;
    }

    /** Adds fields to the heartbeats, as JSON members that each end with a comma. */
    void addToHeartbeats(String members) {
        extraFields = members;
    }

    /** Sets the software version of the incarnations that start from now on. */
    void setVersion(String newVersion) {
        version = newVersion;
    }

    String version() {
        return version;
    }

    /** Delays the first heartbeat of the incarnations that start from now on. */
    void delayFirstHeartbeat(long millis) {
        firstHeartbeatDelayMillis = millis;
    }

    /** Returns how many requests run here. */
    int running() {
        return running.get();
    }

    /** Starts a new incarnation, which accepts connections and announces itself. */
    void start() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address, 512);
        server = socket;
        born = System.currentTimeMillis();
        sequence.set(0);
        up = true;
        record.line("worker %s: started, born %d", id, born);
        thread(() -> accept(socket));
        thread(() -> beat(born));
    }

    boolean isUp() {
        return up;
    }

    /** Ends the worker as a crash does: all its connections are reset, and nothing listens at its address. */
    void crash() {
        up = false;
        record.line("worker %s: crashed", id);
        closeQuietly(server);
        connections.forEach(connection -> {
            try {
                connection.setSoLinger(true, 0);
            } catch (IOException exception) {
                // It is closed already.
            }
            closeQuietly(connection);
        });
        connections.clear();
    }

    /** Crashes now and starts again after a time, under the same id. */
    void crashAndRestart(long millis) {
        crash();
        thread(() -> {
            sleep(millis);
            try {
                start();
            } catch (IOException exception) {
                record.line("worker %s: cannot start again: %s", id, exception);
            }
        });
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                thread(() -> serve(connection));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            boolean open = true;
            while (open) {
                Optional<Http.Message> request = Http.readRequest(in);
                if (request.isEmpty() || !request.get().whole()) {
                    return;
                }
                open = answer(request.get(), connection);
            }
        } catch (Exception exception) {
            // The connection ends.
        } finally {
            connections.remove(connection);
        }
    }

    private boolean answer(Http.Message request, Socket connection) throws Exception {
        Optional<String> expected = request.header("Expect-Instance");
        if (expected.isPresent() && !expected.get().equals(id)) {
            send(connection, "421 Misdirected Request", request, List.of(), new byte[0], false);
            return true;
        }
        if (request.target().equals(healthPath)) {
            send(connection, "200 OK", request, List.of(new Http.Field("Instance-Id", id)), new byte[0], false);
            return true;
        }
        running.incrementAndGet();
        try {
            return behaviour.handle(this, request, connection);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Sends an answer; a signed one counts as the answer of a run. */
    void send(
            Socket connection,
            String status,
            Http.Message request,
            List<Http.Field> more,
            byte[] body,
            boolean signed)
            throws IOException {
        List<Http.Field> fields = new ArrayList<>();
        request.header("Request-Id").ifPresent(value -> fields.add(new Http.Field("Request-Id", value)));
        if (signed) {
            fields.add(new Http.Field("Server-Stamp", id + "." + born + ".x"));
        }
        fields.add(new Http.Field("Server-Load", Math.max(0, running.get()) + ",0," + slots));
        fields.addAll(more);
        connection.getOutputStream().write(Http.encode("HTTP/1.1 " + status, fields, body));
        connection.getOutputStream().flush();
    }

    private void beat(long incarnation) {
        int next = 0;
        sleep(firstHeartbeatDelayMillis);
        while (up && born == incarnation) {
            String body = String.format(
                    Locale.ROOT,
                    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,"
                            + "\"state\":\"%s\",\"cold_remaining_ms\":0,%s\"sequence\":%d,\"born\":%d}",
                    service,
                    address.getAddress().getHostAddress(),
                    address.getPort(),
                    zone,
                    version,
                    slots,
                    state,
                    extraFields,
                    sequence.incrementAndGet(),
                    incarnation);
            for (int attempt = 0; attempt < controlCount; attempt++) {
                try {
                    Http.Message response = Client.call(
                            controls.apply((next + attempt) % controlCount),
                            "POST",
                            "/Instances.Heartbeat/" + id,
                            List.of(new Http.Field("Content-Type", "application/json")),
                            body.getBytes(StandardCharsets.UTF_8),
                            1000);
                    if (response.status() / 100 == 2) {
                        break;
                    }
                } catch (IOException exception) {
                    // The next instance gets the heartbeat.
                }
            }
            next++;
            sleep(1200);
        }
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception exception) {
            // It is closed already.
        }
    }

    @Override
    public void close() {
        up = false;
        closeQuietly(server);
        connections.forEach(Worker::closeQuietly);
    }
}

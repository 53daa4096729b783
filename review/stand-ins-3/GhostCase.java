import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send two kinds of requests, each for a service of its own. Both are served at first. Then another writer sends
 * one heartbeat for each worker of the first service: it has an id of its own, a service that no configuration names, and
 * the worker's address. Exits with 1 if from then on the first kind is served less than a quarter as often as all
 * requests. With TROUBLE=0 these heartbeats name addresses at which no worker serves.
 */
final class GhostCase {
    private static final Duration LENGTH = Duration.ofSeconds(30);
    private static final int FIRST_REQUESTS = 20;
    private static final int FIRST_SECONDS = 5;
    private static final int SPREADING_MILLIS = 1000;
    private static final int WORKERS = 4;
    private static final int WORK_MILLIS = 43;
    private static final int CLIENTS_OF_EACH_KIND = 6;
    private static final int REFUSED_PAUSE_MILLIS = 200;
    private static final double LEAST_SHARE = 0.25;
    private static final int FEWEST = 50;
    private static final String CONFIGURATION = """
            {"version":1,
             "routes":[
               {"name":"r-orders","hostname":"orders.example","path_prefix":"/orders/","type":"unsafe","timeout_ms":2500,
                "target_latency_ms":193,"priority":2,"service":"ledger","max_attempts":2,"public":true},
               {"name":"r-status","hostname":"orders.example","path_prefix":"/status/","type":"unsafe","timeout_ms":2500,
                "target_latency_ms":193,"priority":2,"service":"desk","max_attempts":2,"public":true}],
             "services":[{"name":"ledger","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false},
               {"name":"desk","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    private final Record record;
    private final Deployment deployment;
    private final Counts orders = new Counts();
    private final Counts status = new Counts();

    private GhostCase(Record record, Deployment deployment) {
        this.record = record;
        this.deployment = deployment;
    }

    /** What became of the requests of one kind. */
    private static final class Counts {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        @Override
        public String toString() {
            return served + " of " + sent + " served";
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(3)) {
            result = new GhostCase(record, deployment).run(trouble);
        } catch (CannotRun reason) {
            System.err.println(reason.getMessage());
            result = 2;
        }
        System.exit(result);
    }

    private int run(boolean trouble) throws Exception {
        for (int instance : deployment.instances()) {
            deployment.start(instance, true);
        }
        deployment.awaitReady(Duration.ofSeconds(15));
        deployment.configure(1, CONFIGURATION);
        List<OrderWorker> ledger = new ArrayList<>();
        for (int number = 1; number <= WORKERS; number++) {
            ledger.add(worker("l-" + number, "ledger", "127.41.8." + number));
            worker("d-" + number, "desk", "127.41.9." + number);
        }
        Thread.sleep(2500);
        serveFirst("/orders/1");
        serveFirst("/status/1");
        for (int number = 1; number <= WORKERS; number++) {
            String address = trouble ? ledger.get(number - 1).address() : "127.41.10." + number + ":8080";
            writeHeartbeat("other-" + number, address);
        }
        Thread.sleep(SPREADING_MILLIS);
        List<Thread> clients = new ArrayList<>();
        long endNanos = System.nanoTime() + LENGTH.toNanos();
        for (int number = 0; number < CLIENTS_OF_EACH_KIND; number++) {
            int client = number;
            clients.add(new Thread(() -> send(client, "/orders/1", orders, endNanos)));
            clients.add(new Thread(() -> send(client, "/status/1", status, endNanos)));
        }
        clients.forEach(Thread::start);
        for (Thread client : clients) {
            client.join();
        }
        return judge();
    }

    /** Makes sure that requests of a kind are served; the case cannot run otherwise. */
    private void serveFirst(String path) throws Exception {
        Counts first = new Counts();
        send(0, path, first, System.nanoTime() + Duration.ofSeconds(FIRST_SECONDS).toNanos());
        record.add("before the heartbeats, " + path + ": " + first);
        if (first.served.get() < FIRST_REQUESTS) {
            throw new CannotRun("requests to " + path + " are not served");
        }
    }

    private OrderWorker worker(String id, String service, String ip) throws IOException {
        return new OrderWorker(id, service, ip, deployment.controlAddresses(), WORK_MILLIS);
    }

    private void writeHeartbeat(String id, String address) {
        String body = String.format(
                "{\"service\":\"inventory\",\"address\":\"%s\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":64,"
                        + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":%d,\"sequence\":1}",
                address, System.currentTimeMillis());
        int answer = Http.status(
                deployment.ip(1),
                deployment.controlPort(),
                "POST",
                "/Instances.Heartbeat/" + id,
                Map.of("Content-Type", "application/json"),
                body);
        record.add("another writer sends " + body + ": " + answer);
    }

    private int judge() {
        record.add("at the end: orders " + orders + ", status " + status);
        int sent = orders.sent.get() + status.sent.get();
        if (orders.sent.get() < FEWEST || status.sent.get() < FEWEST) {
            throw new CannotRun("too few requests were sent");
        }
        double share = (double) orders.served.get() / orders.sent.get();
        double all = (double) (orders.served.get() + status.served.get()) / sent;
        record.add(String.format("share served of orders %.3f, of all %.3f", share, all));
        return share < LEAST_SHARE * all ? 1 : 0;
    }

    private void send(int client, String path, Counts counts, long endNanos) {
        while (System.nanoTime() - endNanos < 0) {
            try (Socket socket = Http.connect(deployment.ip(1 + client % 3), deployment.frontPort())) {
                BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                boolean kept = true;
                while (kept && System.nanoTime() - endNanos < 0) {
                    kept = exchange(socket, input, path.substring(1, 2) + client + "-" + System.nanoTime(), path, counts);
                }
            } catch (IOException | InterruptedException exception) {
                record.add("client " + client + ": " + exception);
            }
        }
    }

    /** Sends one request and reads its answer; returns whether the connection is kept. */
    private boolean exchange(Socket socket, BufferedInputStream input, String id, String path, Counts counts)
            throws IOException, InterruptedException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "orders.example");
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", "2500");
        counts.sent.incrementAndGet();
        Http.send(socket, "POST", path, fields, "y".repeat(600));
        Http.Head head = Http.readHead(input);
        byte[] body = Http.readBody(input, head);
        if (head.status() == 200) {
            counts.served.incrementAndGet();
        } else {
            record.add("request " + id + ": " + head.status() + " " + new String(body));
            Thread.sleep(REFUSED_PAUSE_MILLIS);
        }
        return !"close".equalsIgnoreCase(head.fields().get("connection"));
    }
}

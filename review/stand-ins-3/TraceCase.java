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
 * All clients send orders on kept connections. Those of one kind repeat the id of their request in a tracing field of
 * their own. Exits with 1 if their orders are served less than a quarter as often as all requests. With TROUBLE=0 the
 * tracing field holds another value.
 */
final class TraceCase {
    private static final Duration LENGTH = Duration.ofSeconds(30);
    private static final int WORKERS = 4;
    private static final int WORK_MILLIS = 43;
    private static final int PLAIN_CLIENTS = 36;
    private static final int TRACING_CLIENTS = 2;
    private static final double LEAST_SHARE = 0.25;
    private static final int FEWEST = 50;
    private static final String CONFIGURATION = """
            {"version":1,
             "routes":[
               {"name":"r-orders","hostname":"orders.example","path_prefix":"/orders/","type":"unsafe","timeout_ms":2500,
                "target_latency_ms":193,"priority":2,"service":"ledger","max_attempts":2,"public":true},
               {"name":"r-tickets","hostname":"orders.example","path_prefix":"/tickets/","type":"unsafe","timeout_ms":2500,
                "target_latency_ms":193,"priority":2,"service":"ledger","max_attempts":2,"public":true}],
             "services":[{"name":"ledger","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    private final Record record;
    private final Deployment deployment;
    private final boolean trouble;
    private final List<OrderWorker> workers = new ArrayList<>();

    private TraceCase(Record record, Deployment deployment, boolean trouble) {
        this.record = record;
        this.deployment = deployment;
        this.trouble = trouble;
    }

    /** What became of the requests of one kind. */
    private static final class Counts {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger ranInVain = new AtomicInteger();

        private double share() {
            return (double) served.get() / sent.get();
        }

        @Override
        public String toString() {
            return sent + " sent, " + served + " served, " + ranInVain + " run by a worker and not served";
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(3)) {
            result = new TraceCase(record, deployment, trouble).run();
        } catch (CannotRun reason) {
            System.err.println(reason.getMessage());
            result = 2;
        }
        System.exit(result);
    }

    private int run() throws Exception {
        for (int instance : deployment.instances()) {
            deployment.start(instance, true);
        }
        deployment.awaitReady(Duration.ofSeconds(15));
        deployment.configure(1, CONFIGURATION);
        for (int number = 1; number <= WORKERS; number++) {
            workers.add(new OrderWorker("i-" + number, "ledger", "127.41.8." + number, deployment.controlAddresses(), WORK_MILLIS));
        }
        Thread.sleep(2500);
        Counts plain = new Counts();
        Counts tracing = new Counts();
        List<Thread> clients = new ArrayList<>();
        long endNanos = System.nanoTime() + LENGTH.toNanos();
        for (int number = 0; number < PLAIN_CLIENTS + TRACING_CLIENTS; number++) {
            int client = number;
            boolean traces = number >= PLAIN_CLIENTS;
            clients.add(new Thread(() -> send(client, traces, traces ? tracing : plain, endNanos)));
        }
        clients.forEach(Thread::start);
        for (Thread client : clients) {
            client.join();
        }
        return judge(plain, tracing);
    }

    private int judge(Counts plain, Counts tracing) {
        record.add("requests to /orders/: " + plain);
        record.add("requests to /tickets/: " + tracing);
        if (tracing.sent.get() < FEWEST || plain.sent.get() < FEWEST) {
            throw new CannotRun("too few requests were sent");
        }
        double all = (double) (plain.served.get() + tracing.served.get()) / (plain.sent.get() + tracing.sent.get());
        record.add(String.format("share served of /tickets/ %.3f, of all %.3f", tracing.share(), all));
        return tracing.share() < LEAST_SHARE * all ? 1 : 0;
    }

    private void send(int client, boolean traces, Counts counts, long endNanos) {
        int instance = 1 + client % 3;
        int number = 0;
        while (System.nanoTime() - endNanos < 0) {
            try (Socket socket = Http.connect(deployment.ip(instance), deployment.frontPort())) {
                BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                boolean kept = true;
                while (kept && System.nanoTime() - endNanos < 0) {
                    kept = exchange(socket, input, "c" + client + "-" + number++, traces, counts);
                }
            } catch (IOException exception) {
                record.add("client " + client + ": " + exception.getMessage());
            }
        }
    }

    /** Sends one request and reads its answer; returns whether the connection is kept. */
    private boolean exchange(Socket socket, BufferedInputStream input, String id, boolean traces, Counts counts) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "orders.example");
        if (traces) {
            fields.put("X-Correlation-Id", trouble ? id : "trace-" + id);
        }
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", "2500");
        counts.sent.incrementAndGet();
        Http.send(socket, "POST", traces ? "/tickets/1" : "/orders/1", fields, "y".repeat(600));
        Http.Head head = Http.readHead(input);
        byte[] body = Http.readBody(input, head);
        if (head.status() == 200) {
            counts.served.incrementAndGet();
        } else {
            boolean run = workers.stream().anyMatch(worker -> worker.hasRun(id));
            if (run) {
                counts.ranInVain.incrementAndGet();
            }
            if (traces && counts.sent.get() < 200) {
                record.add("request " + id + ": " + head.status() + ", run by a worker: " + run + ", " + new String(body));
            }
        }
        return !"close".equalsIgnoreCase(head.fields().get("connection"));
    }
}

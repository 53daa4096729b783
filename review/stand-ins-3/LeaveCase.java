import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * For five seconds of each seven, some clients leave before their answer: each opens a connection, sends one order and
 * closes the connection soon after. The others send one order after the other on kept connections. Ends when the
 * instance ends, or after {@link #LIMIT}. Exits with 1 if more than three orders from kept connections were passed on to
 * a sound worker and got nothing but the end of their connection. With TROUBLE=0 all clients wait for their answers.
 */
final class LeaveCase {
    private static final Duration LIMIT = Duration.ofSeconds(95);
    private static final int ALLOWED_LOST = 3;
    private static final int WORKERS = 4;
    private static final int WORK_MILLIS = 43;
    private static final int PATIENT_CLIENTS = 32;
    private static final int LEAVING_CLIENTS = 5;
    /** Half of the objective of 193 ms is 96 ms; work takes 43 ms, so these leave sooner. */
    private static final int LEAVE_AFTER_MILLIS = 20;

    private static final int EPISODE_MILLIS = 5000;
    private static final int EPISODE_INTERVAL_MILLIS = 7000;

    private static final String CONFIGURATION = """
            {"version":1,
             "routes":[{"name":"r-orders","hostname":"orders.example","path_prefix":"/orders/","type":"unsafe",
               "timeout_ms":2500,"target_latency_ms":193,"priority":2,"service":"ledger","max_attempts":2,"public":true}],
             "services":[{"name":"ledger","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    private final Record record;
    private final Deployment deployment;
    private final boolean trouble;
    private final List<OrderWorker> workers = new ArrayList<>();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger left = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    private LeaveCase(Record record, Deployment deployment, boolean trouble) {
        this.record = record;
        this.deployment = deployment;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(3)) {
            result = new LeaveCase(record, deployment, trouble).run();
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
            workers.add(new OrderWorker("i-" + number, "ledger", "127.41.8." + number, deployment.controlAddresses(), 0, WORK_MILLIS));
        }
        Thread.sleep(2500);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < PATIENT_CLIENTS; number++) {
            String name = "p" + number;
            clients.add(new Thread(() -> sendFromKeptConnection(name)));
        }
        for (int number = 0; number < LEAVING_CLIENTS; number++) {
            String name = "l" + number;
            clients.add(new Thread(() -> sendFromNewConnections(name)));
        }
        record.add(PATIENT_CLIENTS + " clients wait for their answers, " + LEAVING_CLIENTS + (trouble ? " leave" : " do so too"));
        clients.forEach(Thread::start);
        observe();
        for (Thread client : clients) {
            client.join(5000);
        }
        return judge();
    }

    /** Records the counts every five seconds until the instance ends or the time is over. */
    private void observe() throws InterruptedException {
        long end = System.nanoTime() + LIMIT.toNanos();
        for (int second = 1; System.nanoTime() - end < 0 && process().isAlive(); second++) {
            Thread.sleep(1000);
            if (second % 5 == 0) {
                record.add("served " + served + ", left " + left + ", lost " + lost);
            }
        }
        if (!process().isAlive()) {
            record.add("the process of instance 2 has ended by itself, exit code " + process().exitValue());
            Thread.sleep(500);
        }
        stopped.set(true);
    }

    private Process process() {
        return deployment.process(2);
    }

    private int judge() throws IOException {
        for (String line : Files.readAllLines(deployment.log(2))) {
            if (line.startsWith("Terminating") || line.contains("OutOfMemory")) {
                record.add("instance 2 wrote: " + line);
            }
        }
        record.add("orders from kept connections that were passed on and lost with their connection: " + lost + ", allowed are " + ALLOWED_LOST);
        return lost.get() > ALLOWED_LOST ? 1 : 0;
    }

    private void sendFromKeptConnection(String name) {
        int number = 0;
        while (!stopped.get() && process().isAlive()) {
            try (Socket socket = Http.connect(deployment.ip(2), deployment.frontPort())) {
                BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                boolean kept = true;
                while (kept && !stopped.get()) {
                    kept = sendAndWait(socket, input, name + "-" + number++);
                }
            } catch (IOException exception) {
                // The connection was refused or closed; a request that was lost with it has been counted.
            }
        }
    }

    /** Sends one order and reads its answer; returns whether the connection is kept. */
    private boolean sendAndWait(Socket socket, BufferedInputStream input, String id) throws IOException {
        send(socket, id);
        boolean begun = false;
        try {
            Http.Head head = Http.readHead(input);
            begun = true;
            Http.readBody(input, head);
            served.incrementAndGet();
            return !"close".equalsIgnoreCase(head.fields().get("connection"));
        } catch (IOException exception) {
            boolean passedOn = workers.stream().anyMatch(worker -> worker.hasRun(id));
            String answer = begun ? "only part of an answer" : "no answer";
            record.add("order " + id + " got " + answer + ": " + exception.getMessage() + "; passed on to a worker: " + passedOn);
            if (passedOn && !begun) {
                lost.incrementAndGet();
            }
            throw exception;
        }
    }

    private void sendFromNewConnections(String name) {
        int number = 0;
        long beginNanos = System.nanoTime();
        while (!stopped.get() && process().isAlive()) {
            long millis = (System.nanoTime() - beginNanos) / 1_000_000;
            if (trouble && millis % EPISODE_INTERVAL_MILLIS >= EPISODE_MILLIS) {
                LockSupport.parkNanos(10_000_000L);
                continue;
            }
            try (Socket socket = Http.connect(deployment.ip(2), deployment.frontPort())) {
                BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                boolean kept = true;
                while (kept && !stopped.get()) {
                    String id = name + "-" + number++;
                    if (trouble) {
                        send(socket, id);
                        Thread.sleep(LEAVE_AFTER_MILLIS);
                        left.incrementAndGet();
                        kept = false;
                    } else {
                        kept = sendAndWait(socket, input, id);
                    }
                }
            } catch (IOException exception) {
                // The connection was refused or closed.
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void send(Socket socket, String id) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "orders.example");
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", "2500");
        Http.send(socket, "POST", "/orders/1", fields, "y".repeat(600));
    }
}

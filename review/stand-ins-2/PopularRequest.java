import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers read the same status again and again, with the same path and key. Workers crash by themselves, one at a time
 * and for a reason that has nothing to do with any request, and are back after some seconds.
 */
public final class PopularRequest {
    private static final int WORKERS = 3;
    private static final int WORK_MILLIS = 43;
    private static final int READS_PER_SECOND = 40;
    private static final int ORDERS_PER_SECOND = 100;
    private static final int DOWN_MILLIS = 4500;
    /** Each crash comes at the first moment from then on at which the worker runs a read. */
    private static final double[] CRASH_SECONDS = {1, 6.5};

    private static final double END_SECONDS = 85;

    private PopularRequest() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments));
    }

    /** Returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    private static int run(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
        AtomicInteger incarnations = new AtomicInteger();
        AtomicInteger[] running = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment = new Deployment(root, record, 3, 3, List.of("norte", "centro", "sur"))) {
            deployment.startAll();
            boolean configured = deployment.configure(
                    Rules.configuration(
                            1,
                            List.of(
                                    new Rules.Route("status", "safe", "ledger", 2500, 2, ""),
                                    new Rules.Route("orders", "unsafe", "ledger", 2500, 1, "")),
                            List.of("ledger")),
                    20);
            Worker[] workers = new Worker[WORKERS];
            for (int number = 0; number < WORKERS; number++) {
                workers[number] = worker(number, incarnations, running[number], deployment, record);
            }
            if (!configured || !deployment.awaitReady(20)) {
                System.out.println("the deployment did not start");
                return 2;
            }
            Thread.sleep(3000);
            double start = record.seconds();
            Worker.thread(() -> {
                for (int crash = 0; trouble && crash < CRASH_SECONDS.length; crash++) {
                    Worker.sleep((long) (1000 * Math.max(0, start + CRASH_SECONDS[crash] - record.seconds())));
                    int number = crash % WORKERS;
                    while (running[number].get() == 0) {
                        Worker.sleep(1);
                    }
                    workers[number].crash();
                    Worker.sleep(DOWN_MILLIS);
                    try {
                        workers[number] = worker(number, incarnations, running[number], deployment, record);
                    } catch (java.io.IOException exception) {
                        record.line("worker %d: cannot start again: %s", number, exception);
                    }
                }
            });
            Worker.thread(() -> send(deployment, record, start, "GET", "/status/today", READS_PER_SECOND, counts));
            Worker.thread(() -> send(deployment, record, start, "POST", "/orders/new", ORDERS_PER_SECOND, counts));
            Thread.sleep((long) (1000 * (END_SECONDS + 4)));
            double reads = share(counts, "GET");
            double orders = share(counts, "POST");
            double all = (count(counts, "GET served") + count(counts, "POST served"))
                    / (double) Math.max(1, count(counts, "GET sent") + count(counts, "POST sent"));
            String result = String.format(
                    "%d of %d reads served (%.3f), %d of %d orders served (%.3f), %.3f of all requests",
                    count(counts, "GET served"), count(counts, "GET sent"), reads,
                    count(counts, "POST served"), count(counts, "POST sent"), orders, all);
            record.line("result: %s", result);
            System.out.println(result);
            if (orders < 0.5) {
                return 2;
            }
            return reads < all / 4 ? 1 : 0;
        }
    }

    private static double share(Map<String, AtomicInteger> counts, String method) {
        return count(counts, method + " served") / (double) Math.max(1, count(counts, method + " sent"));
    }

    private static int count(Map<String, AtomicInteger> counts, String name) {
        return counts.computeIfAbsent(name, unused -> new AtomicInteger()).get();
    }

    private static Worker worker(
            int number, AtomicInteger incarnations, AtomicInteger reads, Deployment deployment, Record record)
            throws java.io.IOException {
        Worker worker = new Worker(
                "i-" + number + "-" + incarnations.incrementAndGet(), "ledger",
                List.of("norte", "centro", "sur").get(number), deployment.otherAddress(number), 18080, 6,
                deployment, record,
                (self, request, connection) -> {
                    boolean read = request.method().equals("GET");
                    reads.addAndGet(read ? 1 : 0);
                    Worker.sleep(WORK_MILLIS);
                    reads.addAndGet(read ? -1 : 0);
                    if (self.isUp()) {
                        self.send(connection, "200 OK", request, List.of(), "done".getBytes(), true);
                    }
                    return self.isUp();
                });
        worker.start();
        return worker;
    }

    private static void send(
            Deployment deployment, Record record, double start, String method, String path, int perSecond,
            Map<String, AtomicInteger> counts) {
        for (int number = 0; record.seconds() < start + END_SECONDS; number++) {
            double due = start + number / (double) perSecond;
            Worker.sleep((long) (1000 * Math.max(0, due - record.seconds())));
            String id = (method.equals("GET") ? "a" : "b") + String.format("%012x", number);
            byte[] body = method.equals("GET") ? new byte[0] : ("order " + number).getBytes(StandardCharsets.UTF_8);
            int instance = ThreadLocalRandom.current().nextInt(deployment.size());
            Worker.thread(() -> {
                counts.computeIfAbsent(method + " sent", unused -> new AtomicInteger()).incrementAndGet();
                String answer;
                try {
                    Http.Message response = Client.call(
                            deployment.front(instance), method, path,
                            List.of(
                                    new Http.Field("Host", Rules.HOST),
                                    new Http.Field("Request-Id", id),
                                    new Http.Field("Deadline-Ms", "2500"),
                                    new Http.Field("Credential", Rules.KEY)),
                            body, 4000);
                    answer = Integer.toString(response.status());
                    if (response.status() == 200) {
                        counts.computeIfAbsent(method + " served", unused -> new AtomicInteger())
                                .incrementAndGet();
                    } else {
                        answer += " " + response.text();
                    }
                } catch (Exception exception) {
                    answer = exception.toString();
                }
                record.line("client: %s %s %s at instance %d: %s", id, method, path, instance, answer);
            });
        }
    }
}

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each worker that begins to run it and comes again, with the same path, caller and body, at any
 * machine. The only worker of its service is back after three seconds under the id that it had.
 */
public final class CrashingRequest {
    private static final int CONTACT_MILLIS = 3000;
    private static final int RETRIES_ALLOWED = 3;
    private static final int LENGTH_SECONDS = 55;

    private CrashingRequest() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments));
    }

    /** Returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    private static int run(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int workers = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 1;
        List<Double> arrivals = Collections.synchronizedList(new ArrayList<>());
        List<Double> crashes = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment = new Deployment(root, record, 3, 3, List.of("norte", "centro", "sur"))) {
            deployment.startAll();
            boolean configured = deployment.configure(
                    Rules.configuration(
                            1,
                            List.of(new Rules.Route("orders", "unsafe", "ledger", 2500, 2, "")),
                            List.of("ledger")),
                    20);
            List<Worker> started = new ArrayList<>();
            for (int number = 0; number < workers; number++) {
                Worker worker = new Worker(
                        "i-ledger-" + number, "ledger", "norte", deployment.otherAddress(number), 18080, 6,
                        deployment, record,
                        (self, request, connection) -> {
                            if (request.text().startsWith("crash")) {
                                arrivals.add(record.seconds());
                                record.line("worker %s: runs the crashing request %s", self.id(),
                                        request.header("Request-Id").orElse("-"));
                                crashes.add(record.seconds());
                                self.crashAndRestart(3000);
                                return false;
                            }
                            Worker.sleep(20);
                            self.send(connection, "200 OK", request, List.of(), "done".getBytes(), true);
                            return true;
                        });
                worker.start();
                started.add(worker);
            }
            if (!configured || !deployment.awaitReady(20)) {
                System.out.println("the deployment did not start");
                return 2;
            }
            Thread.sleep(2000);
            double end = record.seconds() + LENGTH_SECONDS;
            for (int count = 0; record.seconds() < end; count++) {
                boolean crashing = trouble && count % 20 == 0;
                String body = crashing ? "crash the worker" : "sound " + count;
                String id = String.format("%016x", count + 1);
                int instance = ThreadLocalRandom.current().nextInt(deployment.size());
                Worker.thread(() -> {
                    sent.incrementAndGet();
                    String answer;
                    try {
                        Http.Message response = Client.call(
                                deployment.front(instance), "POST", "/orders/7",
                                List.of(
                                        new Http.Field("Host", Rules.HOST),
                                        new Http.Field("Request-Id", id),
                                        new Http.Field("Deadline-Ms", "2500"),
                                        new Http.Field("Credential", Rules.KEY)),
                                body.getBytes(StandardCharsets.UTF_8), 4000);
                        answer = Integer.toString(response.status());
                        if (response.status() == 200) {
                            served.incrementAndGet();
                        }
                        if (response.status() != 200) {
                            answer += " " + response.text();
                        }
                    } catch (Exception exception) {
                        answer = exception.toString();
                    }
                    record.line("client: %s %s at instance %d: %s", id, body.split(" ")[0], instance, answer);
                });
                Thread.sleep(200);
            }
            Thread.sleep(3000);
            started.forEach(Worker::close);
            long late = crashes.size() < 3 ? 0 : arrivals.stream()
                    .filter(at -> at > crashes.get(2) + CONTACT_MILLIS / 1000.0)
                    .count();
            record.line("result: %d requests, %d served, %d crashes, %d arrivals of the crashing request later than %d ms"
                    + " after the third crash", sent.get(), served.get(), crashes.size(), late, CONTACT_MILLIS);
            System.out.printf("%d requests, %d served, %d crashes, %d late arrivals (allowed: %d)%n",
                    sent.get(), served.get(), crashes.size(), late, RETRIES_ALLOWED);
            if (served.get() == 0) {
                return 2;
            }
            return late > RETRIES_ALLOWED ? 1 : 0;
        }
    }
}

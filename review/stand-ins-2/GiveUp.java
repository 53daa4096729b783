import java.io.BufferedInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients leave before their deadline: they close their connection after half of the latency objective, shortly
 * before the answer. All requests are alike, and the workers serve them well within the time of the others.
 */
public final class GiveUp {
    private static final int INSTANCES = 3;
    private static final int WORKERS = 6;
    private static final int WORK_MILLIS = 600;
    private static final int REQUESTS_PER_SECOND = 400;
    private static final int BODY_BYTES = 18_000;
    /** Part of the clients that leave, and when: after half of the latency objective, a second. */
    private static final double SHARE = 0.3;

    private static final int PATIENCE_MILLIS = 500;
    /** Each time in which clients leave, and the time from the beginning of one to that of the next. */
    private static final double GIVE_UP_SECONDS = 5;

    private static final double PERIOD_SECONDS = 6;
    /** A client that has its answer closes the connection this much later; its way to the instance takes 1 ms. */
    private static final int CLOSE_DELAY_MILLIS = 50;

    private static final double END_SECONDS = 70;
    /** The rule counts from three ends of processes by themselves, on half of the core. */
    private static final int ENDS = 3;

    private GiveUp() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments));
    }

    /** Returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    private static int run(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger left = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger ends = new AtomicInteger();
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment =
                        new Deployment(root, record, INSTANCES, INSTANCES, List.of("norte", "centro", "sur"))) {
            deployment.startAll();
            boolean configured = deployment.configure(
                    Rules.configuration(
                            1, List.of(new Rules.Route("notes", "safe", "ledger", 5000, 2, "")), List.of("ledger")),
                    20);
            for (int number = 0; number < WORKERS; number++) {
                new Worker(
                                "i-" + number, "ledger", "norte", deployment.otherAddress(number), 18080, 64,
                                deployment, record,
                                (self, request, connection) -> {
                                    Worker.sleep(WORK_MILLIS);
                                    self.send(connection, "200 OK", request, List.of(), "done".getBytes(), true);
                                    return true;
                                })
                        .start();
            }
            if (!configured || !deployment.awaitReady(20)) {
                System.out.println("the deployment did not start");
                return 2;
            }
            Thread.sleep(2000);
            double start = record.seconds();
            Worker.thread(() -> restartEnded(deployment, record, ends));
            ExecutorService clients = Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(null, task, "client", 128 << 10);
                thread.setDaemon(true);
                return thread;
            });
            byte[] body = new byte[BODY_BYTES];
            double nextLine = 0;
            for (int number = 0; record.seconds() < start + END_SECONDS; number++) {
                double due = start + number / (double) REQUESTS_PER_SECOND;
                Worker.sleep((long) (1000 * Math.max(0, due - record.seconds())));
                double now = record.seconds() - start;
                boolean leaves = trouble
                        && now % PERIOD_SECONDS < GIVE_UP_SECONDS
                        && ThreadLocalRandom.current().nextDouble() < SHARE;
                String id = String.format("%012x", number);
                int instance = ThreadLocalRandom.current().nextInt(INSTANCES);
                clients.execute(() -> call(deployment, instance, id, body, leaves, sent, left, served, cut));
                if (now >= nextLine) {
                    nextLine = now + 2;
                    StringBuilder memory = new StringBuilder();
                    for (int other = 0; other < INSTANCES; other++) {
                        memory.append(' ').append(residentMegabytes(deployment.pid(other)));
                    }
                    record.line("clients: %d sent, %d left, %d served, %d not answered; memory of the instances, MB:%s",
                            sent.get(), left.get(), served.get(), cut.get(), memory);
                }
            }
            Thread.sleep(3000);
            String result = String.format("%d requests, %d clients left early, %d served, %d of the others not answered;"
                    + " processes ended by themselves: %d", sent.get(), left.get(), served.get(), cut.get(), ends.get());
            record.line("result: %s", result);
            System.out.println(result);
            if (served.get() == 0) {
                return 2;
            }
            return ends.get() >= ENDS ? 1 : 0;
        }
    }

    /** Starts each process that has ended by itself again, as the platform does. */
    private static void restartEnded(Deployment deployment, Record record, AtomicInteger ends) {
        while (true) {
            Worker.sleep(500);
            for (int instance = 0; instance < INSTANCES; instance++) {
                if (!deployment.isAlive(instance)) {
                    ends.incrementAndGet();
                    record.line("platform: instance %d has ended by itself; its last line: %s", instance,
                            lastLine(deployment.log(instance)));
                    try {
                        deployment.start(instance, false);
                    } catch (java.io.IOException exception) {
                        return;
                    }
                }
            }
        }
    }

    private static String lastLine(Path log) {
        try {
            List<String> lines = new ArrayList<>(java.nio.file.Files.readAllLines(log));
            return lines.get(lines.size() - 1);
        } catch (java.io.IOException exception) {
            return exception.toString();
        }
    }

    private static long residentMegabytes(long pid) {
        try {
            return java.nio.file.Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .map(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024)
                    .findFirst()
                    .orElse(0L);
        } catch (java.io.IOException exception) {
            return 0;
        }
    }

    private static void call(
            Deployment deployment, int instance, String id, byte[] body, boolean leaves,
            AtomicInteger sent, AtomicInteger left, AtomicInteger served, AtomicInteger cut) {
        sent.incrementAndGet();
        try (Socket socket = Client.connect(deployment.front(instance), 5000)) {
            List<Http.Field> fields = List.of(
                    new Http.Field("Host", Rules.HOST),
                    new Http.Field("Request-Id", id),
                    new Http.Field("Deadline-Ms", "5000"),
                    new Http.Field("Credential", Rules.KEY));
            socket.getOutputStream().write(Http.encode("POST /notes/1 HTTP/1.1", fields, body));
            socket.getOutputStream().flush();
            socket.setSoTimeout(leaves ? PATIENCE_MILLIS : 5500);
            Http.Message response = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
            if (response.status() == 200) {
                served.incrementAndGet();
            }
            Worker.sleep(CLOSE_DELAY_MILLIS);
        } catch (SocketTimeoutException exception) {
            (leaves ? left : cut).incrementAndGet();
        } catch (java.io.IOException exception) {
            if (!leaves) {
                cut.incrementAndGet();
            }
        }
    }
}

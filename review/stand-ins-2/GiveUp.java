import java.io.BufferedInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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
    private static final int WORKERS = 10;
    private static final int WORK_MILLIS = 600;
    private static final int REQUESTS_PER_SECOND = 600;
    private static final int BODY_BYTES = 18_000;
    /** Part of the clients that leave, and when: after half of the latency objective, a second. */
    private static final double SHARE = 0.3;

    private static final int PATIENCE_MILLIS = 500;
    /** Each time in which clients leave, and the time from the beginning of one to that of the next. */
    private static final double GIVE_UP_SECONDS = 5;

    private static final double PERIOD_SECONDS = 6;
    /** A client that has its answer closes the connection this much later; its way to the instance takes 1 ms. */
    private static final int CLOSE_DELAY_MILLIS = 50;

    private static final double END_SECONDS = 76;
    /** Clients that keep their connection for their next request, and never leave. */
    private static final int KEEPING_CLIENTS = 150;

    private static final int PAUSE_MILLIS = 300;
    /** Requests from kept connections that a sound worker got and that may end without an answer. */
    private static final int LOSSES_ALLOWED = 3;

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
        AtomicInteger keptServed = new AtomicInteger();
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Set<String> keptLost = ConcurrentHashMap.newKeySet();
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment =
                        new Deployment(root, record, INSTANCES, INSTANCES, List.of("norte", "centro", "sur"))) {
            deployment.startAll();
            boolean configured = deployment.configure(
                    Rules.configuration(
                            1,
                            List.of(
                                    new Rules.Route("notes", "safe", "ledger", 5000, 2, ""),
                                    new Rules.Route("letters", "safe", "ledger", 15000, 2, "")),
                            List.of("ledger")),
                    20);
            for (int number = 0; number < WORKERS; number++) {
                new Worker(
                                "i-" + number, "ledger", "norte", deployment.otherAddress(number), 18080, 64,
                                deployment, record,
                                (self, request, connection) -> {
                                    request.header("Request-Id").filter(id -> id.startsWith("k")).ifPresent(ran::add);
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
            for (int client = 0; client < KEEPING_CLIENTS; client++) {
                int own = client;
                clients.execute(() -> keep(
                        deployment, own, body, start + END_SECONDS, record, keptServed, keptLost));
            }
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
            long lost = keptLost.stream().filter(ran::contains).count();
            keptLost.stream().filter(ran::contains).forEach(id -> record.line("lost: %s ran at a worker", id));
            String result = String.format("%d requests, %d clients left early, %d served, %d of the others not answered;"
                    + " from kept connections %d served and %d passed on but closed without an answer (allowed: %d);"
                    + " processes ended by themselves: %d",
                    sent.get(), left.get(), served.get(), cut.get(), keptServed.get(), lost, LOSSES_ALLOWED, ends.get());
            record.line("result: %s", result);
            System.out.println(result);
            if (served.get() == 0 || keptServed.get() == 0) {
                return 2;
            }
            return lost > LOSSES_ALLOWED ? 1 : 0;
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

    /** Sends requests on one connection, which is replaced only when it has ended. Never leaves before an answer. */
    private static void keep(
            Deployment deployment, int client, byte[] body, double end, Record record,
            AtomicInteger keptServed, Set<String> keptLost) {
        Socket socket = null;
        int instance = 0;
        boolean kept = false;
        for (int number = 0; record.seconds() < end; number++) {
            String id = "k" + client + "-" + number;
            try {
                if (socket == null) {
                    instance = ThreadLocalRandom.current().nextInt(INSTANCES);
                    socket = Client.connect(deployment.front(instance), 16000);
                    kept = false;
                }
                Http.Message response = Client.exchange(
                        socket, Rules.HOST, "POST", "/letters/1", fields(id, 15000), body);
                if (response.status() == 200 && response.whole()) {
                    keptServed.incrementAndGet();
                }
                kept = true;
                if (response.header("Connection").orElse("").equalsIgnoreCase("close")) {
                    socket.close();
                    socket = null;
                }
            } catch (SocketTimeoutException exception) {
                record.line("client: %s at instance %d: no answer in time", id, instance);
                socket = closed(socket);
            } catch (java.io.IOException exception) {
                if (kept && socket != null) {
                    keptLost.add(id);
                    record.line("client: %s on a kept connection to instance %d: %s", id, instance, exception);
                }
                socket = closed(socket);
            }
            Worker.sleep(PAUSE_MILLIS);
        }
        closed(socket);
    }

    private static Socket closed(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (java.io.IOException exception) {
            // It is closed already.
        }
        return null;
    }

    private static List<Http.Field> fields(String id, int deadlineMillis) {
        return List.of(
                new Http.Field("Host", Rules.HOST),
                new Http.Field("Request-Id", id),
                new Http.Field("Deadline-Ms", Integer.toString(deadlineMillis)),
                new Http.Field("Credential", Rules.KEY));
    }

    private static void call(
            Deployment deployment, int instance, String id, byte[] body, boolean leaves,
            AtomicInteger sent, AtomicInteger left, AtomicInteger served, AtomicInteger cut) {
        sent.incrementAndGet();
        try (Socket socket = Client.connect(deployment.front(instance), 5000)) {
            socket.getOutputStream().write(Http.encode("POST /notes/1 HTTP/1.1", fields(id, 5000), body));
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

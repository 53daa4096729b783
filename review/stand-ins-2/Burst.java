import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Many users come at once: 1.7 times the usual number for three seconds. Each keeps its connection open for its next
 * request. Together they need a few more connections than an instance has descriptors.
 */
public final class Burst {
    private static final int USERS_PER_INSTANCE = 2500;
    private static final double BURST_FACTOR = 1.7;
    private static final double BURST_SECONDS = 3;
    private static final int WORKERS = 4;
    private static final int INSTANCES = 3;

    private Burst() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments));
    }

    /** Returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    private static int run(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment =
                        new Deployment(root, record, INSTANCES, INSTANCES, List.of("norte", "centro", "sur"))) {
            deployment.startAll();
            boolean configured = deployment.configure(
                    Rules.configuration(
                            1, List.of(new Rules.Route("status", "safe", "ledger", 2500, 2, "")), List.of("ledger")),
                    20);
            for (int number = 0; number < WORKERS; number++) {
                new Worker(
                                "i-" + number, "ledger", "norte", deployment.otherAddress(number), 18080, 12,
                                deployment, record,
                                (self, request, connection) -> {
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
            List<String> fronts = new ArrayList<>();
            for (int instance = 0; instance < INSTANCES; instance++) {
                fronts.add(deployment.front(instance));
            }
            Users users = new Users(fronts, record);
            int usual = USERS_PER_INSTANCE * INSTANCES;
            double start = record.seconds();
            double burst = start + 30;
            double leave = burst + 12;
            users.add(usual, start, 20, start + 200);
            if (trouble) {
                users.add((int) (usual * (BURST_FACTOR - 1)), burst, BURST_SECONDS, leave);
            }
            Thread thread = new Thread(users);
            thread.setDaemon(true);
            thread.start();
            while (record.seconds() < leave + 15) {
                Thread.sleep(2000);
                StringBuilder descriptors = new StringBuilder();
                for (int instance = 0; instance < INSTANCES; instance++) {
                    String[] open = new java.io.File("/proc/" + deployment.pid(instance) + "/fd").list();
                    descriptors.append(' ').append(open == null ? "ended" : open.length);
                }
                record.line("users: %d connections opened, %d answers, %d failures; descriptors of the instances:%s",
                        users.connected.get(), users.served.get(), users.failed.get(), descriptors);
            }
            int read = 0;
            int accepted = 0;
            for (int second = 0; second < 10; second++) {
                for (int instance = 0; instance < INSTANCES; instance++) {
                    String answer;
                    try {
                        int status = Client.call(deployment.control(instance), "GET", "/Configuration.Describe",
                                List.of(), new byte[0], 2000).status();
                        answer = Integer.toString(status);
                        read += status == 200 ? 1 : 0;
                    } catch (IOException exception) {
                        answer = exception.toString();
                    }
                    record.line("operator: reads the configuration at instance %d: %s", instance, answer);
                    try {
                        Client.connect(deployment.front(instance), 1000).close();
                        accepted++;
                    } catch (IOException exception) {
                        record.line("client: new connection to instance %d: %s, process alive: %s", instance,
                                exception, deployment.isAlive(instance));
                    }
                }
                Thread.sleep(1000);
            }
            users.stopped = true;
            thread.join(5000);
            String result = String.format("%d answers; 15 s after the users of the burst have left: %d of 30 reads of"
                    + " the configuration answered, %d of 30 new connections of clients accepted",
                    users.served.get(), read, accepted);
            record.line("result: %s", result);
            System.out.println(result);
            if (users.served.get() < usual) {
                return 2;
            }
            return read == 0 ? 1 : 0;
        }
    }
}

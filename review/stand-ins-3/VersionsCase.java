import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Three of four workers run streams. The fourth, which has joined with the same software and has no requests yet, is
 * started again under its id with the next software version, and its first heartbeat after that comes two seconds late.
 * In these two seconds one of the other workers crashes. Exits with 1 if more than two answers hold events of two
 * software versions. With TROUBLE=0 the fourth worker is not started again; the crash is the same.
 */
final class VersionsCase {
    private static final String HOST = "notes.example";
    private static final String KEY = "k3v9x2m7q1";
    private static final String SERVICE = "narrator";
    private static final int STREAMS_PER_INSTANCE = 30;
    private static final int ALLOWED_MIXED = 2;
    private static final int HEARTBEAT_DELAY_MILLIS = 2000;
    private static final int RESTART_MILLIS = 400;
    private static final int CRASH_DELAY_MILLIS = 600;
    /** Longer than a stream takes. */
    private static final int STREAM_MILLIS = 12_000;

    private static final String CONFIGURATION = """
            {"version":1,
             "routes":[{"name":"r-notes","hostname":"notes.example","path_prefix":"/notes/","type":"streaming",
               "timeout_ms":15000,"target_latency_ms":1000,"priority":1,"service":"narrator","max_attempts":2,
               "public":false,"sticky":false,"resumable":true,"target_gap_ms":250}],
             "services":[{"name":"narrator","health_path":"/healthz","max_connections":380,"protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"parish","api_keys":["k3v9x2m7q1"],"priority":1,"unit":"tokens","plain_tokens":200,
               "rate_per_s":0,"burst":0}]}
            """;

    private VersionsCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(3)) {
            result = run(record, deployment, trouble);
        } catch (CannotRun reason) {
            System.err.println(reason.getMessage());
            result = 2;
        }
        System.exit(result);
    }

    private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
        for (int instance : deployment.instances()) {
            deployment.start(instance, true);
        }
        deployment.awaitReady(Duration.ofSeconds(30));
        deployment.configure(1, CONFIGURATION);
        List<Worker> busy = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            busy.add(worker(number, deployment, record));
        }
        for (Worker worker : busy) {
            worker.start("v1");
            worker.announce();
        }
        Thread.sleep(2500);
        List<StreamClient> clients = startStreams(record, deployment);
        Worker idle = worker(4, deployment, record);
        idle.start("v1");
        idle.announce();
        Thread.sleep(2200);
        if (trouble) {
            idle.fallSilent();
            idle.crash();
            Thread.sleep(RESTART_MILLIS);
            idle.start("v2");
            record.add("the next heartbeat of worker i-4 comes " + HEARTBEAT_DELAY_MILLIS + " ms late");
        }
        Thread.sleep(CRASH_DELAY_MILLIS);
        busy.get(0).fallSilent();
        busy.get(0).crash();
        if (trouble) {
            Thread.sleep(HEARTBEAT_DELAY_MILLIS - CRASH_DELAY_MILLIS);
            idle.announce();
        }
        Thread.sleep(STREAM_MILLIS);
        return judge(record, clients);
    }

    private static Worker worker(int number, Deployment deployment, Record record) {
        return new Worker("i-" + number, SERVICE, "127.41.8." + number, deployment.controlAddresses(), record);
    }

    private static List<StreamClient> startStreams(Record record, Deployment deployment) throws Exception {
        List<StreamClient> clients = new ArrayList<>();
        for (int instance : deployment.instances()) {
            for (int number = 1; number <= STREAMS_PER_INSTANCE; number++) {
                StreamClient client = new StreamClient(
                        "s" + instance + "-" + number,
                        deployment.ip(instance),
                        deployment.frontPort(),
                        HOST,
                        "/notes/a",
                        KEY,
                        record);
                clients.add(client);
                Thread thread = new Thread(client);
                thread.setDaemon(true);
                thread.start();
            }
        }
        Thread.sleep(1000);
        long begun = clients.stream().filter(client -> client.count() > 0).count();
        if (begun < clients.size()) {
            throw new CannotRun("only " + begun + " streams have begun");
        }
        return clients;
    }

    private static int judge(Record record, List<StreamClient> clients) {
        long mixed = clients.stream().filter(client -> client.versions().size() > 1).count();
        record.add(mixed + " of " + clients.size() + " answers hold events of two software versions, allowed are " + ALLOWED_MIXED);
        return mixed > ALLOWED_MIXED ? 1 : 0;
    }
}

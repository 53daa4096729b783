import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * One of three machines is lost for good during the first start of the system, and another machine with an empty disk
 * takes its place at another address. The operator sends the first configuration again and again, and a client asks for
 * service. Exits with 1 if nothing is acknowledged and nothing is served within a minute after the other machine has
 * started. With TROUBLE=0 no machine is lost.
 */
final class FoundingCase {
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final String CONFIGURATION = """
            {"version":1,
             "routes":[{"name":"r-orders","hostname":"orders.example","path_prefix":"/orders/","type":"safe",
               "timeout_ms":2500,"target_latency_ms":193,"priority":2,"service":"ledger","max_attempts":2,"public":true}],
             "services":[{"name":"ledger","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    private FoundingCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(trouble ? 4 : 3)) {
            result = run(record, deployment, trouble);
        } catch (CannotRun reason) {
            System.err.println(reason.getMessage());
            result = 2;
        }
        System.exit(result);
    }

    private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
        List<Integer> core = List.of(1, 2, 3);
        for (int instance : core) {
            deployment.start(instance, true);
            record.add("instance " + instance + " starts, bootstrap=true");
        }
        if (trouble) {
            Thread.sleep(500);
            deployment.signal(1, "KILL");
            record.add("instance 1 is killed; its machine is lost for good");
            Thread.sleep(3000);
            deployment.useSeeds(List.of(4, 2, 3));
            deployment.start(4, false);
            record.add("instance 4 starts in its place, at another address with an empty disk, bootstrap=false");
            for (int instance : List.of(2, 3)) {
                deployment.writeSettings(instance, false);
                deployment.signal(instance, "HUP");
                record.add("instance " + instance + " gets the new seeds and SIGHUP");
            }
            core = List.of(2, 3, 4);
        }
        new OrderWorker("i-1", "ledger", "127.41.8.1", deployment.controlAddresses(), 40);
        return awaitService(record, deployment, core);
    }

    /** Sends the configuration to the machines in turn until it is acknowledged, and a request after each time. */
    private static int awaitService(Record record, Deployment deployment, List<Integer> core) throws Exception {
        long end = System.nanoTime() + LIMIT.toNanos();
        boolean acknowledged = false;
        for (int attempt = 0; System.nanoTime() - end < 0; attempt++) {
            int instance = core.get(attempt % core.size());
            if (!acknowledged) {
                int status = send(deployment, instance, deployment.controlPort(), "/Configuration.Replace", CONFIGURATION, attempt);
                record.add("configuration sent to instance " + instance + ": " + status);
                acknowledged = status == 200;
            }
            int served = send(deployment, instance, deployment.frontPort(), "/orders/1", "", attempt);
            record.add("request " + attempt + " sent to instance " + instance + ": " + served);
            if (acknowledged && served == 200) {
                return 0;
            }
            Thread.sleep(500);
        }
        for (int instance : core) {
            boolean runs = deployment.process(instance).isAlive();
            int ready = Http.status(deployment.ip(instance), deployment.readyPort(), "GET", "/readyz", Map.of(), "");
            record.add("instance " + instance + " runs: " + runs + ", /readyz: " + ready);
        }
        return acknowledged ? 2 : 1;
    }

    private static int send(Deployment deployment, int instance, int port, String path, String body, int number) {
        Map<String, String> fields =
                Map.of("Host", "orders.example", "Request-Id", "r" + number, "Deadline-Ms", "2500", "Content-Type", "application/json");
        return Http.status(deployment.ip(instance), port, "POST", path, fields, body);
    }
}

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: instances of the project as separate processes, started by the command of the deploy file with
 * settings filled in from its template, each at a loopback address of its own. Ends all of them on close.
 */
final class Deployment implements AutoCloseable {
    private static final int PORTS = 8;
    private static final int METRICS_PORT = 9464;
    /** Descriptors of a process, {@code limits.max_fds} of the settings. */
    private static final int MAXIMUM_DESCRIPTORS = 4100;

    private final Path root;
    private final Path folder;
    private final Record record;
    private final String network;
    private final int[] ports = new int[PORTS];
    private final int instances;
    private final int replicas;
    private final List<String> zones;
    private final Map<Integer, Process> processes = new ConcurrentHashMap<>();
    private volatile boolean closed;
    /** Bounds of the settings; those of the site with three data centres unless a scenario changes them. */
    final Map<String, Object> bounds = new LinkedHashMap<>();

    Deployment(Path root, Record record, int instances, int replicas, List<String> zones) throws IOException {
        this.root = root;
        this.record = record;
        this.instances = instances;
        this.replicas = replicas;
        this.zones = zones;
        folder = Files.createTempDirectory("basilrill-review");
        network = freeNetwork();
        bounds.put("retry_budget_ratio", 0.2);
        bounds.put("retry_slack", 64);
        bounds.put("lease_ms", 3000);
        bounds.put("quota_slack", 110000);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Chooses a loopback network and ports that nobody uses. */
    private String freeNetwork() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String candidate = "127." + random.nextInt(2, 250) + "." + random.nextInt(0, 250) + ".";
            int first = random.nextInt(20_000, 30_000);
            for (int port = 0; port < PORTS; port++) {
                ports[port] = first + port;
            }
            if (isFree(candidate)) {
                return candidate;
            }
        }
        throw new IOException("no free ports");
    }

    private boolean isFree(String candidate) {
        for (int instance = 0; instance < instances; instance++) {
            for (int port : Stream.concat(Arrays.stream(ports).boxed(), Stream.of(METRICS_PORT)).toList()) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(candidate + (10 + instance)), port));
                } catch (IOException used) {
                    return false;
                }
            }
        }
        return true;
    }

    int size() {
        return instances;
    }

    String address(int instance) {
        return network + (10 + instance);
    }

    /** Returns an address for a stand-in, which no instance uses. */
    String otherAddress(int number) {
        return network + (100 + number);
    }

    String front(int instance) {
        return address(instance) + ":" + ports[1];
    }

    String control(int instance) {
        return address(instance) + ":" + ports[3];
    }

    String ready(int instance) {
        return address(instance) + ":" + ports[2];
    }

    String directory(int instance) {
        return address(instance) + ":" + ports[0];
    }

    long pid(int instance) {
        return processes.get(instance).pid();
    }

    boolean isAlive(int instance) {
        return processes.get(instance).isAlive();
    }

    Path log(int instance) {
        return folder.resolve("instance-" + instance + ".log");
    }

    void startAll() throws IOException {
        for (int instance = 0; instance < instances; instance++) {
            start(instance, true);
        }
    }

    /** Starts an instance; the first instances have a disk and are the seeds. */
    synchronized void start(int instance, boolean bootstrap) throws IOException {
        if (closed) {
            throw new IOException("the deployment is closed");
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("ip", address(instance));
        fields.put("zone", zones.get(instance % zones.size()));
        fields.put("region", "valle");
        Map<String, Object> regions = new LinkedHashMap<>();
        zones.forEach(zone -> regions.put(zone, "valle"));
        fields.put("zones", regions);
        fields.put("listen", Map.of(
                "front", front(instance),
                "ready", ready(instance),
                "control", control(instance),
                "directory", directory(instance)));
        fields.put("internal_ports", List.of(ports[4], ports[5]));
        List<String> seeds = new ArrayList<>();
        for (int seed = 0; seed < Math.min(3, replicas); seed++) {
            seeds.add(control(seed));
        }
        fields.put("seeds", seeds);
        fields.put("bootstrap", bootstrap);
        fields.put("bounds", bounds);
        if (instance < replicas) {
            fields.put("data_dir", Files.createDirectories(folder.resolve("data-" + instance)).toString());
        }
        Path settings = folder.resolve("settings-" + instance + ".conf");
        Files.writeString(settings, Template.fill(Files.readString(root.resolve("deploy/settings.json")), fields));
        List<String> command = new ArrayList<>(Arrays.asList(runLine().split(" +")));
        command.replaceAll(word -> word.equals("/etc/basilrill/boot.conf") ? settings.toString() : word);
        command.addAll(0, List.of("sh", "-c", "ulimit -n " + MAXIMUM_DESCRIPTORS + "; exec \"$@\"", "sh"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(instance).toFile()));
        builder.environment().put("BASILRILL_CONFIG", settings.toString());
        processes.put(instance, builder.start());
        record.line("platform: started instance %d at %s", instance, address(instance));
    }

    private String runLine() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE).matcher(deploy);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no run line");
        }
        return matcher.group(1);
    }

    /** Waits until all instances say that they are ready; returns whether they did. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int instance = 0; instance < instances; instance++) {
            while (!isReady(instance)) {
                if (System.nanoTime() - end > 0) {
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }

    boolean isReady(int instance) {
        try {
            return Client.call(ready(instance), "GET", "/readyz", List.of(), new byte[0], 1000).status() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    /** Sends a configuration to the instances in turn until one acknowledges it; returns whether one did. */
    boolean configure(String configuration, int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int attempt = 0; System.nanoTime() - end < 0; attempt++) {
            try {
                Http.Message response = Client.call(
                        control(attempt % instances),
                        "POST",
                        "/Configuration.Replace",
                        List.of(new Http.Field("Content-Type", "application/json")),
                        configuration.getBytes(StandardCharsets.UTF_8),
                        2000);
                if (response.status() == 200) {
                    record.line("operator: configuration acknowledged by instance %d", attempt % instances);
                    return true;
                }
            } catch (IOException exception) {
                // The next instance gets the same configuration.
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Sends a signal to a process that this deployment started. */
    void signal(int instance, String signal) throws IOException, InterruptedException {
        record.line("platform: SIG%s to instance %d", signal, instance);
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid(instance))).inheritIO().start().waitFor();
    }

    void awaitEnd(int instance) throws InterruptedException {
        processes.get(instance).waitFor();
    }

    private synchronized void killAll() {
        closed = true;
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        killAll();
        for (Process process : processes.values()) {
            process.waitFor();
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}

package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own instances as separate processes, each on a loopback address of its own, started with the command of
 * the deploy file and settings made from the template of the deploy file. The first instances have a data folder. Ends
 * all processes that it started. Thread safe.
 */
final class Deployment implements AutoCloseable {
    private static final int FRONT = 8221;
    private static final int READY = 8224;
    private static final int CONTROL = 8229;
    private static final int DIRECTORY = 8220;
    private static final int FIRST_INTERNAL = 7600;
    private static final int LAST_INTERNAL = 7615;
    private static final int METRICS = 9464;
    private static final int SEEDS = 3;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final Path repository;
    private final Path folder;
    private final String network;
    private final int instances;
    private final int replicas;
    private final Map<Integer, Process> processes = new LinkedHashMap<>();

    /** Creates a deployment without starting it. */
    Deployment(Path repository, int instances, int replicas) throws IOException {
        this.repository = repository;
        this.instances = instances;
        this.replicas = replicas;
        folder = Files.createTempDirectory("basilrill-review");
        long pid = ProcessHandle.current().pid();
        network = "127." + (10 + pid % 200) + "." + (pid / 200 % 250) + ".";
        for (int number = 1; number <= instances; number++) {
            requireFree(ip(number), FRONT, READY, CONTROL, DIRECTORY, FIRST_INTERNAL, LAST_INTERNAL, METRICS);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    int instances() {
        return instances;
    }

    /** Returns a loopback address that no instance has, for a stand-in. */
    String ip(int number) {
        return network + number;
    }

    String front(int instance) {
        return ip(instance) + ":" + FRONT;
    }

    String ready(int instance) {
        return ip(instance) + ":" + READY;
    }

    String control(int instance) {
        return ip(instance) + ":" + CONTROL;
    }

    String directory(int instance) {
        return ip(instance) + ":" + DIRECTORY;
    }

    void startAll() throws IOException {
        for (int number = 1; number <= instances; number++) {
            start(number, true);
        }
    }

    /** Starts an instance; bootstrap is true only when the whole system starts for the first time. */
    synchronized void start(int number, boolean bootstrap) throws IOException {
        Path settings = folder.resolve("settings-" + number + ".json");
        Files.writeString(settings, settings(number, bootstrap));
        Matcher run = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" +")) {
            command.add(word.equals("/etc/basilrill/boot.conf") ? settings.toString() : word);
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(number).toFile()));
        processes.put(number, builder.start());
    }

    Path log(int number) {
        return folder.resolve("instance-" + number + ".log");
    }

    synchronized boolean isAlive(int number) {
        return processes.get(number).isAlive();
    }

    /** Sends a signal, such as STOP or KILL, to an instance. */
    synchronized void signal(int number, String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(number).pid())).start().waitFor();
            if (name.equals("KILL")) {
                processes.get(number).waitFor(5, TimeUnit.SECONDS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all instances are ready; returns whether they were in time. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int number = 1; number <= instances; ) {
            try {
                if (Http.call(ready(number), "GET", "/readyz", "", 1000).head().status() == 200) {
                    number++;
                    continue;
                }
            } catch (IOException exception) {
                // Not listening yet.
            }
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(50);
        }
        return true;
    }

    /** Sends a configuration to one instance after the other until it is acknowledged; returns whether it was. */
    boolean configure(String text, int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int number = 1; System.nanoTime() < end; number = number % instances + 1) {
            try {
                int status = Http.call(control(number), "POST", "/Configuration.Replace", text, 2000)
                        .head()
                        .status();
                if (status == 200) {
                    return true;
                }
                if (status == 400) {
                    return false;
                }
            } catch (IOException exception) {
                // The next instance is called.
            }
            Thread.sleep(100);
        }
        return false;
    }

    @Override
    public void close() {
        endProcesses();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException exception) {
            System.err.println("temporary folder not removed: " + exception);
        }
    }

    private synchronized void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void requireFree(String ip, int... ports) throws IOException {
        for (int port : ports) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            }
        }
    }

    private String settings(int number, boolean bootstrap) throws IOException {
        StringBuilder seeds = new StringBuilder("[");
        for (int seed = 1; seed <= Math.min(SEEDS, replicas); seed++) {
            seeds.append(seed == 1 ? "" : ",").append('"').append(control(seed)).append('"');
        }
        Map<String, String> values = new LinkedHashMap<>();
        values.put("ip", ip(number));
        values.put("zone", "zone-" + (1 + (number - 1) % 3));
        values.put("listen.front", front(number));
        values.put("listen.ready", ready(number));
        values.put("listen.control", control(number));
        values.put("listen.directory", directory(number));
        values.put("internal_ports.0", Integer.toString(FIRST_INTERNAL));
        values.put("internal_ports.1", Integer.toString(LAST_INTERNAL));
        values.put("seeds", seeds.append(']').toString());
        values.put("bootstrap", Boolean.toString(bootstrap));
        values.put("bounds.retry_budget_ratio", "0.2");
        values.put("bounds.retry_slack", "64");
        values.put("bounds.lease_ms", "3000");
        values.put("bounds.quota_slack", "110000");
        if (number <= replicas) {
            Path data = folder.resolve("data-" + number);
            Files.createDirectories(data);
            values.put("data_dir", data.toString());
        }
        return render(Files.readString(repository.resolve("deploy/settings.json")), values);
    }

    /** Fills in sections and placeholders of the template; sections are not nested in it. */
    private static String render(String template, Map<String, String> values) {
        Matcher sections = Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL)
                .matcher(template);
        String flat = sections.replaceAll(section -> {
            String value = values.get(section.group(1));
            return Matcher.quoteReplacement(value == null ? "" : section.group(2).replace("{{.}}", value));
        });
        return Pattern.compile("\\{\\{([\\w.]+)(?:\\|json)?}}")
                .matcher(flat)
                .replaceAll(field -> Matcher.quoteReplacement(values.getOrDefault(field.group(1), "")));
    }
}

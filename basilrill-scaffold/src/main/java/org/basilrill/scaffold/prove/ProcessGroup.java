package org.basilrill.scaffold.prove;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Starts processes, sends them signals by process id, and kills all of them on close. Thread safe. */
final class ProcessGroup implements AutoCloseable {
    private static final long KILL_WAIT_SECONDS = 5;

    private final Path folder;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private boolean closed;

    /** Signals that scenarios send. */
    enum Signal {
        TERM,
        KILL,
        STOP,
        CONT
    }

    ProcessGroup(Path folder) {
        this.folder = folder;
    }

    /** Starts a Java program; its output is appended to a file with the name of the process. */
    synchronized void startJava(String name, int heapMegabytes, Path jar, List<String> arguments) throws IOException {
        if (closed) {
            throw new IOException("process group is closed");
        }
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMegabytes + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-jar",
                jar.toString()));
        command.addAll(arguments);
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()))
                .start();
        processes.put(name, process);
    }

    /** Sends a signal to a process; returns once it is sent. */
    void signal(String name, Signal signal) throws IOException, InterruptedException {
        long pid = processes.get(name).pid();
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    }

    /** Kills a process and waits until it has ended. */
    void kill(String name) throws IOException, InterruptedException {
        signal(name, Signal.KILL);
        ScenarioFailure.unless(ended(name, Duration.ofSeconds(KILL_WAIT_SECONDS)), name + " killed", "still running");
    }

    /** Waits until a process has ended. Returns false if it is still running after the limit. */
    boolean ended(String name, Duration limit) throws InterruptedException {
        return processes.get(name).waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    @Override
    public synchronized void close() {
        closed = true;
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(KILL_WAIT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }
}

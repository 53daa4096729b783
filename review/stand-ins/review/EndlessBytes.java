package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Rule CONFIG: two of six workers answer with bytes without end for a while. Afterwards the configuration that was
 * acknowledged is read back at all instances. Also counts the requests from kept connections that ran at sound workers
 * and whose connections were closed without an answer (rule LOST), for information only.
 */
public final class EndlessBytes {
    private static final int INSTANCES = 3;
    private static final int WORKERS = 6;
    private static final int CLIENTS_PER_INSTANCE = 90;
    private static final int FAULTY_WORKERS = 2;
    /** Share of the answers of a faulty worker that do not end. */
    private static final double FAULTY_SHARE = 0.45;

    private static final int CALM_MILLIS = 6000;
    private static final int TRAFFIC_MILLIS = 30_000;
    private static final int DEADLINE_MILLIS = 15_000;
    /** After the end of the traffic and of the disruption; longer than recovery_s. */
    private static final int CALM_AFTER_MILLIS = 13_000;
    /** The operator asks for the configuration for this long; longer than contact_ms. */
    private static final int READ_BACK_MILLIS = 6000;

    private static final int LONG_LINE = 8000;
    private static final String MODEL = "modelo1";

    private EndlessBytes() {}

    public static void main(String[] arguments) {
        Scenario.main(arguments, INSTANCES, INSTANCES, EndlessBytes::run);
    }

    private static int run(Deployment deployment, Journal journal, boolean trouble) throws Exception {
        Set<String> ranAtSoundWorker = ConcurrentHashMap.newKeySet();
        AtomicLong troubleFrom = new AtomicLong(Long.MAX_VALUE);
        deployment.startAll();
        for (int number = 1; number <= WORKERS; number++) {
            boolean faulty = trouble && number <= FAULTY_WORKERS;
            Random random = new Random(number);
            Worker worker = new Worker(
                    "i-worker" + number,
                    deployment.ip(100 + number),
                    8080,
                    "asistente",
                    MODEL,
                    64,
                    () -> controls(deployment),
                    (life, head, body, input, output) -> {
                        String id = head.field("request-id");
                        boolean endless =
                                faulty && journal.millis() > troubleFrom.get() && random.nextDouble() < FAULTY_SHARE;
                        journal.add("worker %s%s runs %s", life.id(), endless ? " (bytes without end)" : "", id);
                        if (endless) {
                            sendWithoutEnd(id, output);
                        } else {
                            if (!faulty) {
                                ranAtSoundWorker.add(id);
                            }
                            stream(life, id, output);
                        }
                    });
            worker.start("v1", 0);
        }
        if (!deployment.awaitReady(30) || !deployment.configure(Settings.streams(MODEL, "notas", false), 20)) {
            journal.add("the deployment did not start");
            return Scenario.NOT_RUN;
        }
        Thread.sleep(3500);
        AtomicInteger complete = new AtomicInteger();
        Map<Integer, AtomicInteger> lost = new ConcurrentHashMap<>();
        int clients = CLIENTS_PER_INSTANCE * INSTANCES;
        long end = System.nanoTime() + TRAFFIC_MILLIS * 1_000_000L;
        CountDownLatch done = new CountDownLatch(clients);
        for (int client = 0; client < clients; client++) {
            int number = client;
            Worker.daemon(() -> {
                call(deployment, journal, number, end, ranAtSoundWorker, complete, lost);
                done.countDown();
            });
        }
        Thread.sleep(CALM_MILLIS);
        troubleFrom.set(journal.millis());
        done.await();
        for (int number = 1; number <= INSTANCES; number++) {
            String log = Files.readString(deployment.log(number));
            boolean ready = isReady(deployment, number);
            boolean outOfMemory = log.contains("OutOfMemoryError");
            journal.add(
                    "instance %d: process alive %s, ready %s, OutOfMemoryError in its output %s",
                    number,
                    deployment.isAlive(number),
                    ready,
                    outOfMemory);
        }
        journal.add(
                "%d complete; requests from kept connections that ran at sound workers and got no answer before the"
                        + " connection was closed, by instance: %s",
                complete.get(),
                lost);
        if (complete.get() == 0) {
            return Scenario.NOT_RUN;
        }
        troubleFrom.set(Long.MAX_VALUE);
        Thread.sleep(CALM_AFTER_MILLIS);
        return readBack(deployment, journal) ? Scenario.HELD : Scenario.BROKEN;
    }

    /** Asks one instance after the other for the configuration; returns whether one sent it. */
    private static boolean readBack(Deployment deployment, Journal journal) throws InterruptedException {
        long end = System.nanoTime() + READ_BACK_MILLIS * 1_000_000L;
        for (int number = 1; System.nanoTime() < end; number = number % INSTANCES + 1) {
            String result;
            try {
                Http.Response response =
                        Http.call(deployment.control(number), "GET", "/Configuration.Describe", "", 1000);
                result = response.head().firstLine();
                if (response.head().status() == 200 && response.text().contains("\"version\":3")) {
                    journal.add("the configuration is read back at instance %d", number);
                    return true;
                }
            } catch (IOException exception) {
                result = exception.toString();
            }
            journal.add("the configuration is not read back at instance %d: %s", number, result);
            Thread.sleep(100);
        }
        return false;
    }

    /** Sends requests on a kept connection, and opens a new one after a failure. */
    private static void call(
            Deployment deployment,
            Journal journal,
            int client,
            long end,
            Set<String> ranAtSoundWorker,
            AtomicInteger complete,
            Map<Integer, AtomicInteger> lost) {
        Random random = new Random(client);
        int instance = 1 + client % deployment.instances();
        int count = 0;
        while (System.nanoTime() < end) {
            try (Socket socket = Http.connect(deployment.front(instance), DEADLINE_MILLIS)) {
                InputStream input = new BufferedInputStream(socket.getInputStream());
                boolean kept = false;
                boolean open = true;
                while (open && System.nanoTime() < end) {
                    String id = String.format("%08x%08x", client, count++);
                    open = exchange(journal, socket, input, id, instance, kept, ranAtSoundWorker, complete, lost);
                    kept = true;
                    Thread.sleep(random.nextInt(100));
                }
                Thread.sleep(200);
            } catch (IOException exception) {
                journal.add("client %d: no connection to instance %d: %s", client, instance, exception.getMessage());
                sleep(1000);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Sends one request; returns whether the connection can be used again. */
    private static boolean exchange(
            Journal journal,
            Socket socket,
            InputStream input,
            String id,
            int instance,
            boolean kept,
            Set<String> ranAtSoundWorker,
            AtomicInteger complete,
            Map<Integer, AtomicInteger> lost) {
        Http.Head response = null;
        boolean timedOut = false;
        String result;
        boolean open = false;
        try {
            socket.getOutputStream()
                    .write(Settings.request("/notas/2f", id, MODEL, DEADLINE_MILLIS, "", "{\"n\":\"" + id + "\"}")
                            .getBytes(StandardCharsets.ISO_8859_1));
            response = Http.readHead(input);
            result = response == null ? "closed without an answer" : response.firstLine();
            if (response != null) {
                Http.readBody(input, response);
                open = !response.field("connection").equalsIgnoreCase("close");
                complete.addAndGet(response.status() == 200 ? 1 : 0);
            }
        } catch (java.net.SocketTimeoutException exception) {
            timedOut = true;
            result = "no answer within the deadline";
        } catch (IOException exception) {
            result = (response == null ? "closed without an answer: " : "cut: ") + exception.getMessage();
        }
        boolean isLost = kept && response == null && !timedOut && ranAtSoundWorker.contains(id);
        if (isLost) {
            lost.computeIfAbsent(instance, unknown -> new AtomicInteger()).incrementAndGet();
        }
        journal.add("request %s at instance %d%s: %s", id, instance, isLost ? " LOST" : "", result);
        return open;
    }

    /** A sound answer: reads for a second, then ten events in a second. */
    private static void stream(Worker.Life life, String id, OutputStream output)
            throws IOException, InterruptedException {
        Thread.sleep(1000);
        String start = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + life.id()
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        output.write(start.getBytes(StandardCharsets.ISO_8859_1));
        for (int event = 1; event <= 10; event++) {
            Thread.sleep(100);
            String text = "id: " + event + "\ndata: {\"event\":" + event + "}\n\n";
            output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Sends a long head and a chunked body whose trailer does not end, until the caller closes the connection. */
    private static void sendWithoutEnd(String id, OutputStream output) throws IOException, InterruptedException {
        StringBuilder start = new StringBuilder("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n");
        start.append("Server-Stamp: x\r\nTransfer-Encoding: chunked\r\n");
        for (int line = 1; line <= 60; line++) {
            start.append("X-More-" + line + ": " + "y".repeat(LONG_LINE) + "\r\n");
        }
        start.append("\r\n0\r\n");
        output.write(start.toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int line = 1; ; line++) {
            String text = line <= 60 ? "X-More-" + line + ": " + "y".repeat(LONG_LINE) + "\r\n" : "y";
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
            Thread.sleep(line <= 60 ? 10 : 200);
        }
    }

    private static boolean isReady(Deployment deployment, int number) {
        try {
            return Http.call(deployment.ready(number), "GET", "/readyz", "", 1000)
                            .head()
                            .status()
                    == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    private static List<String> controls(Deployment deployment) {
        List<String> controls = new ArrayList<>();
        for (int number = 1; number <= deployment.instances(); number++) {
            controls.add(deployment.control(number));
        }
        Collections.shuffle(controls);
        return controls;
    }

    private static void sleep(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}

package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Rule ORDER: workers of a service crash one after the other and start again under their own ids with other software,
 * and their first heartbeats arrive seconds late. Counts the streams with events of two software versions.
 */
public final class Versions {
    private static final int INSTANCES = 3;
    private static final int WORKERS = 6;
    private static final int CLIENTS = 90;
    private static final int EVENTS = 50;
    private static final int EVENT_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final int CLIENT_ATTEMPTS = 3;
    private static final int DOWN_MILLIS = 500;
    private static final int HEARTBEAT_LATE_MILLIS = 2500;
    private static final int BETWEEN_CRASHES_MILLIS = 1500;
    /** The rule is broken by more than two streams. */
    private static final int ALLOWED_STREAMS = 2;

    private static final int TRAFFIC_MILLIS = 20_000;
    private static final String MODEL = "modelo1";
    private static final Pattern EVENT_VERSION = Pattern.compile("data: \\{\"made_by\":\"(v\\d)\"");
    private static final Pattern EVENT_ID = Pattern.compile("(?m)^id: (\\d+)$");

    private Versions() {}

    public static void main(String[] arguments) {
        Scenario.main(arguments, INSTANCES, INSTANCES, Versions::run);
    }

    private static int run(Deployment deployment, Journal journal, boolean trouble) throws Exception {
        deployment.startAll();
        List<Worker> workers = new ArrayList<>();
        for (int number = 1; number <= WORKERS; number++) {
            Worker worker = new Worker(
                    "i-worker" + number,
                    deployment.ip(100 + number),
                    8080,
                    "asistente",
                    MODEL,
                    64,
                    () -> controls(deployment),
                    (life, head, body, input, output) -> stream(life, head, output, journal));
            worker.start("v1", 0);
            workers.add(worker);
        }
        if (!deployment.awaitReady(30) || !deployment.configure(Settings.streams(MODEL, "notas", true), 20) || !awaitService(deployment)) {
            journal.add("the deployment did not start");
            return Scenario.NOT_RUN;
        }
        Thread.sleep(3500);
        AtomicInteger mixed = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger streams = new AtomicInteger();
        long end = System.nanoTime() + TRAFFIC_MILLIS * 1_000_000L;
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int number = 0; number < CLIENTS; number++) {
            int client = number;
            Worker.daemon(() -> {
                Random random = new Random(client);
                while (System.nanoTime() < end) {
                    follow(deployment, journal, client, streams.incrementAndGet(), random, mixed, complete);
                }
                done.countDown();
            });
        }
        if (trouble) {
            Thread.sleep(3000);
            for (Worker worker : workers) {
                worker.crash();
                journal.add("worker %s crashes", worker.id());
                Thread.sleep(DOWN_MILLIS);
                worker.start("v2", HEARTBEAT_LATE_MILLIS);
                journal.add("worker %s starts again with software v2, first heartbeat %d ms late", worker.id(),
                        HEARTBEAT_LATE_MILLIS);
                Thread.sleep(BETWEEN_CRASHES_MILLIS);
            }
        }
        done.await();
        journal.add("%d streams, %d complete, %d with events of two software versions", streams.get(), complete.get(),
                mixed.get());
        if (complete.get() == 0) {
            return Scenario.NOT_RUN;
        }
        return mixed.get() > ALLOWED_STREAMS ? Scenario.BROKEN : Scenario.HELD;
    }

    /** Follows one stream to its end, over several attempts if it is cut. */
    private static void follow(
            Deployment deployment,
            Journal journal,
            int client,
            int number,
            Random random,
            AtomicInteger mixed,
            AtomicInteger complete) {
        TreeSet<String> versions = new TreeSet<>();
        List<String> attempts = new ArrayList<>();
        String lastId = "";
        String firstRequest = "";
        boolean ended = false;
        for (int attempt = 1; attempt <= CLIENT_ATTEMPTS && !ended; attempt++) {
            String id = String.format("%08x%04x%04x", number, client, attempt);
            int instance = 1 + random.nextInt(deployment.instances());
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            String result;
            try (Socket socket = Http.connect(deployment.front(instance), DEADLINE_MILLIS)) {
                String resumption = lastId.isEmpty()
                        ? ""
                        : "Last-Event-Id: " + lastId + "\r\nResumes: " + firstRequest + "\r\n";
                String request = Settings.request(
                        "/notas/2f", id, MODEL, DEADLINE_MILLIS, resumption, "{\"n\":" + number + "}");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                InputStream input = new BufferedInputStream(socket.getInputStream());
                Http.Head response = Http.readHead(input);
                result = response == null ? "closed" : Integer.toString(response.status());
                if (response != null && response.status() == 200) {
                    for (byte[] chunk = Http.readChunk(input); chunk.length > 0; chunk = Http.readChunk(input)) {
                        received.writeBytes(chunk);
                    }
                    ended = true;
                    result = "200 complete";
                } else if (response != null) {
                    result += " " + new String(Http.readBody(input, response), StandardCharsets.UTF_8);
                }
            } catch (IOException exception) {
                result = "cut: " + exception.getMessage();
            }
            String text = received.toString(StandardCharsets.ISO_8859_1);
            StringBuilder parts = new StringBuilder();
            Matcher version = EVENT_VERSION.matcher(text);
            while (version.find()) {
                versions.add(version.group(1));
                if (!parts.toString().endsWith(version.group(1))) {
                    parts.append(parts.length() == 0 ? "" : ",").append(version.group(1));
                }
            }
            if (parts.length() > 0 && firstRequest.isEmpty()) {
                firstRequest = id;
            }
            Matcher ids = EVENT_ID.matcher(text);
            while (ids.find()) {
                lastId = ids.group(1);
            }
            attempts.add("request " + id + " at instance " + instance + ": " + result + ", events of [" + parts
                    + "] up to " + lastId);
            if (!ended) {
                sleep(200);
            }
        }
        if (ended) {
            complete.incrementAndGet();
        }
        if (versions.size() > 1) {
            mixed.incrementAndGet();
        }
        journal.add("stream %d%s: %s", number, versions.size() > 1 ? " MIXED" : "", String.join("; ", attempts));
    }

    /** Sends the events after the one that the caller names, at a steady pace. */
    private static void stream(Worker.Life life, Http.Head head, OutputStream output, Journal journal)
            throws IOException, InterruptedException {
        String last = head.field("last-event-id");
        int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        journal.add("worker %s (%s) runs %s from event %d", life.id(), life.version(), head.field("request-id"), next);
        String start = "HTTP/1.1 200 OK\r\nRequest-Id: " + head.field("request-id") + "\r\nServer-Stamp: " + life.id()
                + "." + life.version() + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n";
        output.write(start.getBytes(StandardCharsets.ISO_8859_1));
        for (int event = next; event <= EVENTS && life.isCurrent(); event++) {
            Thread.sleep(EVENT_MILLIS);
            String text = "id: " + event + "\ndata: {\"made_by\":\"" + life.version() + "\",\"event\":" + event
                    + "}\n\n";
            output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static boolean awaitService(Deployment deployment) throws InterruptedException {
        for (int attempt = 0; attempt < 100; attempt++) {
            try {
                if (Http.call(deployment.directory(1), "GET", "/resolve?name=mesa.example&zone=zone-1", "", 1000)
                        .text()
                        .contains(":")) {
                    return true;
                }
            } catch (IOException exception) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        return false;
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

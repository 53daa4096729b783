import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A worker without a running stream crashes, is back at once under its id with newer software, and its first heartbeat
 * is late. Streams begin there. It crashes once more, and the streams go on elsewhere. One worker after the other.
 */
public final class SoftwareVersions {
    private static final int INSTANCES = 3;
    private static final int WORKERS = 6;
    private static final int EVENTS = 14;
    private static final int EVENT_MILLIS = 100;
    private static final int HEARTBEAT_DELAY_MILLIS = 1200;
    private static final int FIRST_DOWN_MILLIS = 300;
    private static final int SECOND_CRASH_AFTER_MILLIS = 1300;
    private static final int SECOND_DOWN_MILLIS = 3000;
    private static final int STREAMS_ALLOWED = 2;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (v\\d)-\\d+\n\n");

    private SoftwareVersions() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments));
    }

    /** What one client has received of one stream, over all its tries. */
    private static final class Stream {
        private final Set<String> versions = new TreeSet<>();
        private String firstId = "";
        private int last;
        private boolean ended;
        private int tries;
    }

    /** Returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    private static int run(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Stream> streams = new ConcurrentHashMap<>();
        AtomicInteger number = new AtomicInteger();
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment =
                        new Deployment(root, record, INSTANCES, INSTANCES, List.of("norte", "centro", "sur"))) {
            deployment.startAll();
            boolean configured = deployment.configure(
                    Rules.configuration(
                            1,
                            List.of(new Rules.Route(
                                    "notes", "streaming", "writer", 10000, 3, ",\"resumable\":true,\"target_gap_ms\":250")),
                            List.of("writer")),
                    20);
            Worker[] workers = new Worker[WORKERS];
            for (int index = 0; index < WORKERS; index++) {
                workers[index] = new Worker(
                        "i-writer-" + index, "writer", List.of("norte", "centro", "sur").get(index % 3),
                        deployment.otherAddress(index), 18080, 64, deployment, record,
                        (self, request, connection) -> write(self, request, connection, record));
                workers[index].start();
            }
            if (!configured || !deployment.awaitReady(20)) {
                System.out.println("the deployment did not start");
                return 2;
            }
            Thread.sleep(3000);
            for (Worker worker : workers) {
                // A few short requests now and then keep all instances busy.
                background(deployment, record, streams, number, 1500);
                if (trouble) {
                    while (worker.running() > 0) {
                        Thread.sleep(1);
                    }
                    worker.setVersion("v2");
                    worker.delayFirstHeartbeat(HEARTBEAT_DELAY_MILLIS);
                    worker.crashAndRestart(FIRST_DOWN_MILLIS);
                }
                Thread.sleep(FIRST_DOWN_MILLIS + 100);
                for (int count = 0; count < 36; count++) {
                    begin(deployment, record, streams, number, EVENTS);
                    Thread.sleep(20);
                }
                Thread.sleep(SECOND_CRASH_AFTER_MILLIS - 720);
                if (trouble) {
                    worker.crashAndRestart(SECOND_DOWN_MILLIS);
                }
                background(deployment, record, streams, number, SECOND_DOWN_MILLIS + HEARTBEAT_DELAY_MILLIS + 1500);
            }
            Thread.sleep(4000);
            long joined = streams.values().stream().filter(stream -> stream.versions.size() > 1).count();
            long whole = streams.values().stream().filter(stream -> stream.ended).count();
            String result = String.format("%d streams, %d whole, %d with events of two software versions (allowed: %d)",
                    streams.size(), whole, joined, STREAMS_ALLOWED);
            record.line("result: %s", result);
            System.out.println(result);
            if (whole == 0) {
                return 2;
            }
            return joined > STREAMS_ALLOWED ? 1 : 0;
        }
    }

    private static void background(
            Deployment deployment, Record record, Map<String, Stream> streams, AtomicInteger number, int millis)
            throws InterruptedException {
        for (int passed = 0; passed < millis; passed += 150) {
            begin(deployment, record, streams, number, 3);
            Thread.sleep(150);
        }
    }

    /** Writes a stream from the event after the last one that the caller has, until the number that its body states. */
    private static boolean write(Worker self, Http.Message request, Socket connection, Record record)
            throws IOException {
        String id = request.header("Request-Id").orElse("");
        String version = self.version();
        int last = Integer.parseInt(request.header("Last-Event-Id").orElse("0"));
        int end = Integer.parseInt(request.text().split(" ")[1]);
        record.line("worker %s %s: runs %s from event %d", self.id(), version, id, last + 1);
        OutputStream out = connection.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + self.id() + "\r\n"
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (int event = last + 1; event <= end; event++) {
            Worker.sleep(EVENT_MILLIS);
            String text = "id: " + event + "\ndata: " + version + "-" + event + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return true;
    }

    /** Starts a client that reads one stream, and takes it up again at most three times. */
    private static void begin(
            Deployment deployment, Record record, Map<String, Stream> streams, AtomicInteger number, int events) {
        int own = number.incrementAndGet();
        Stream stream = new Stream();
        streams.put("s" + own, stream);
        Worker.thread(() -> {
            while (!stream.ended && stream.tries < 4) {
                stream.tries++;
                String id = String.format("%08x%02x", own, stream.tries);
                int instance = ThreadLocalRandom.current().nextInt(INSTANCES);
                String answer = attempt(deployment, instance, id, own, events, stream);
                record.line("client: stream %d, try %s at instance %d: %s, has events to %d of %s", own, id, instance,
                        answer, stream.last, stream.versions);
                if (!stream.ended) {
                    Worker.sleep(200);
                }
            }
        });
    }

    private static String attempt(
            Deployment deployment, int instance, String id, int own, int events, Stream stream) {
        List<Http.Field> fields = new java.util.ArrayList<>(List.of(
                new Http.Field("Host", Rules.HOST),
                new Http.Field("Request-Id", id),
                new Http.Field("Deadline-Ms", "9000"),
                new Http.Field("Credential", Rules.KEY)));
        if (stream.last > 0) {
            fields.add(new Http.Field("Last-Event-Id", Integer.toString(stream.last)));
            fields.add(new Http.Field("Resumes", stream.firstId));
        }
        byte[] body = ("note " + events + " " + own).getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = Client.connect(deployment.front(instance), 9000)) {
            socket.getOutputStream().write(Http.encode("POST /notes/1 HTTP/1.1", fields, body));
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message response = Http.readResponse(in);
            if (response.status() != 200) {
                return response.status() + " " + response.text();
            }
            Matcher event = EVENT.matcher(response.text());
            while (event.find()) {
                if (stream.last == 0) {
                    stream.firstId = id;
                }
                stream.last = Integer.parseInt(event.group(1));
                stream.versions.add(event.group(2));
            }
            stream.ended = response.whole() && stream.last == events;
            return stream.ended ? "whole" : "broken off";
        } catch (IOException exception) {
            return exception.toString();
        }
    }
}

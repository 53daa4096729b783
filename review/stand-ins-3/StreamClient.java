import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A client that asks for one stream and notes each event. It does not try again. */
final class StreamClient implements Runnable {
    private final String id;
    private final String ip;
    private final int port;
    private final Map<String, String> fields;
    private final String path;
    private final Record record;
    private final List<String> events = new ArrayList<>();
    private volatile String end = "no answer";

    StreamClient(String id, String ip, int port, String host, String path, String key, Record record) {
        this.id = id;
        this.ip = ip;
        this.port = port;
        this.path = path;
        this.record = record;
        fields = new LinkedHashMap<>();
        fields.put("Host", host);
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", "15000");
        fields.put("Credential", key);
    }

    @Override
    public void run() {
        record.add("client sends request " + id + " to " + ip);
        try (Socket socket = Http.connect(ip, port)) {
            Http.send(socket, "POST", path, fields, "{}");
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(input);
            end = "status " + head.status() + ", cut";
            if (head.status() != 200) {
                end = "status " + head.status();
                return;
            }
            readEvents(input);
            end = "status 200, complete";
        } catch (IOException exception) {
            // The text of the end says how far the answer came.
        } finally {
            record.add("request " + id + ": " + end + ", " + count() + " events by " + writers());
        }
    }

    /** Returns how many events have arrived. */
    synchronized int count() {
        return events.size();
    }

    /** Returns the workers, each with its software version, that wrote the events. */
    synchronized Set<String> writers() {
        return new TreeSet<>(events);
    }

    /** Returns the software versions of the workers that wrote the events. */
    synchronized Set<String> versions() {
        Set<String> versions = new TreeSet<>();
        events.forEach(event -> versions.add(event.split(" ")[1]));
        return versions;
    }

    private void readEvents(BufferedInputStream input) throws IOException {
        StringBuilder text = new StringBuilder();
        for (byte[] chunk = Http.readChunk(input); chunk.length > 0; chunk = Http.readChunk(input)) {
            text.append(new String(chunk));
            for (int boundary = text.indexOf("\n\n"); boundary >= 0; boundary = text.indexOf("\n\n")) {
                String event = text.substring(0, boundary);
                text.delete(0, boundary + 2);
                synchronized (this) {
                    events.add(event.substring(event.indexOf("data: ") + "data: ".length()));
                }
            }
        }
    }
}

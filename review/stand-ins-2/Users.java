import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users, each with one connection that it keeps open for its next request, on one thread. A user picks one of the
 * addresses at random, another one after a failure, and reuses its connection before it has been idle for 12 s.
 */
final class Users implements Runnable {
    private static final double THINK_SECONDS = 11;
    private static final double CONNECT_SECONDS = 1;

    private final List<String> fronts;
    private final Record record;
    private final Random random = new Random(1);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((one, other) -> Double.compare(one.due, other.due));
    private final Selector selector;
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    final AtomicInteger connected = new AtomicInteger();
    volatile boolean stopped;

    Users(List<String> fronts, Record record) throws IOException {
        this.fronts = fronts;
        this.record = record;
        selector = Selector.open();
    }

    /** Something that one user does at a time. */
    private record Event(double due, User user, int attempt) {}

    /** One user and its connection. */
    private static final class User {
        private final double leavesAt;
        private SocketChannel channel;
        private String avoided = "";
        private String address = "";
        private int attempt;
        private int number;
        private boolean waiting;
        private final ByteBuffer input = ByteBuffer.allocate(1024);

        User(double leavesAt) {
            this.leavesAt = leavesAt;
        }
    }

    /** Adds users who come spread over a time, and leave at a time. Called before the thread starts. */
    void add(int count, double from, double over, double leavesAt) {
        for (int number = 0; number < count; number++) {
            events.add(new Event(from + over * number / count, new User(leavesAt), 0));
        }
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                selector.select(5);
                for (SelectionKey key : selector.selectedKeys()) {
                    ready(key, (User) key.attachment());
                }
                selector.selectedKeys().clear();
                double now = record.seconds();
                while (!events.isEmpty() && events.peek().due() <= now) {
                    Event event = events.poll();
                    act(event, now);
                }
            }
            for (SelectionKey key : new ArrayList<>(selector.keys())) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException exception) {
            record.line("users: ended by %s", exception);
        }
    }

    /** Opens a connection or sends the next request; a connection that is not open in time counts as failed. */
    private void act(Event event, double now) throws IOException {
        User user = event.user();
        if (event.attempt() != user.attempt) {
            return;
        }
        if (now >= user.leavesAt) {
            close(user);
            return;
        }
        if (user.channel != null && user.channel.isConnected() && !user.waiting) {
            send(user, now);
            return;
        }
        if (user.channel != null) {
            fail(user, user.waiting ? "no answer" : "not connected");
            return;
        }
        connect(user, now);
    }

    private void connect(User user, double now) {
        List<String> choice = fronts.stream().filter(front -> !front.equals(user.avoided)).toList();
        user.address = choice.get(random.nextInt(choice.size()));
        int separator = user.address.lastIndexOf(':');
        try {
            user.channel = SocketChannel.open();
            user.channel.configureBlocking(false);
            user.channel.register(selector, SelectionKey.OP_CONNECT, user);
            user.channel.connect(new InetSocketAddress(
                    user.address.substring(0, separator), Integer.parseInt(user.address.substring(separator + 1))));
            schedule(user, now + CONNECT_SECONDS);
        } catch (IOException exception) {
            fail(user, exception.toString());
        }
    }

    private void ready(SelectionKey key, User user) {
        try {
            if (key.isValid() && key.isConnectable() && user.channel.finishConnect()) {
                connected.incrementAndGet();
                key.interestOps(SelectionKey.OP_READ);
                send(user, record.seconds());
                return;
            }
            if (key.isValid() && key.isReadable()) {
                read(user);
            }
        } catch (IOException exception) {
            fail(user, exception.toString());
        }
    }

    private void send(User user, double now) {
        String request = "GET /status/" + (++user.number) + " HTTP/1.1\r\nHost: " + Rules.HOST + "\r\nRequest-Id: "
                + Integer.toHexString(System.identityHashCode(user)) + "-" + user.number + "\r\nDeadline-Ms: 2500\r\n"
                + "Credential: " + Rules.KEY + "\r\n\r\n";
        try {
            user.input.clear();
            user.channel.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
            user.waiting = true;
            schedule(user, now + 3);
        } catch (IOException exception) {
            fail(user, exception.toString());
        }
    }

    private void read(User user) throws IOException {
        int bytes = user.channel.read(user.input);
        if (bytes < 0) {
            fail(user, "closed");
            return;
        }
        String text = new String(user.input.array(), 0, user.input.position(), StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0 || !user.waiting) {
            return;
        }
        int field = text.toLowerCase().indexOf("content-length: ");
        int length = field < 0 ? 0 : Integer.parseInt(text.substring(field + 16, text.indexOf('\r', field)).trim());
        if (text.length() < end + 4 + length) {
            return;
        }
        user.waiting = false;
        user.avoided = "";
        (text.startsWith("HTTP/1.1 200") ? served : failed).incrementAndGet();
        schedule(user, record.seconds() + THINK_SECONDS * (0.9 + 0.1 * random.nextDouble()));
    }

    private void schedule(User user, double due) {
        user.attempt++;
        events.add(new Event(due, user, user.attempt));
    }

    private void fail(User user, String reason) {
        boolean idle = user.channel != null && user.channel.isConnected() && !user.waiting;
        if (!idle) {
            failed.incrementAndGet();
        }
        close(user);
        user.avoided = user.address;
        schedule(user, record.seconds() + 0.3 + random.nextDouble());
    }

    private static void close(User user) {
        try {
            if (user.channel != null) {
                user.channel.close();
            }
        } catch (IOException exception) {
            // It is closed already.
        }
        user.channel = null;
        user.waiting = false;
    }
}

package org.basilrill.scaffold.prove;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Forwards TCP connections on loopback and cuts, delays or silently swallows one direction or both. Thread safe.
 *
 * <p>A connection between instances carries the name of the sender in its first bytes; the relay reads it there, so
 * that a treatment can depend on who opened the connection.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 128;

    private final ServerSocket listener;
    private final int destination;
    private final List<String> senders;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong opened = new AtomicLong();
    private volatile Policy policy = (connection, direction) -> Treatment.PASS;

    /** Directions of a connection, as seen by the side that opened it. */
    enum Direction {
        OUT,
        BACK
    }

    /** What happens to the bytes of one direction. */
    record Treatment(Kind kind, Duration delay) {
        static final Treatment PASS = new Treatment(Kind.PASS, Duration.ZERO);
        static final Treatment SWALLOW = new Treatment(Kind.SWALLOW, Duration.ZERO);
        static final Treatment CUT = new Treatment(Kind.CUT, Duration.ZERO);

        static Treatment delayed(Duration delay) {
            return new Treatment(Kind.PASS, delay);
        }
    }

    /** Kinds of treatment. */
    enum Kind {
        PASS,
        SWALLOW,
        CUT
    }

    /**
     * One connection.
     *
     * @param number counts up from 1 in the order of opening
     * @param sender name of the instance that opened it; empty if it is not known
     */
    record Connection(long number, String sender) {}

    /** Chooses the treatment; asked for each chunk of bytes. */
    interface Policy {
        Treatment of(Connection connection, Direction direction);
    }

    /**
     * Starts to listen.
     *
     * @param senders names of the instances that may open connections; empty if the protocol carries no names
     */
    Relay(int port, int destination, List<String> senders) throws IOException {
        this.listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        this.destination = destination;
        this.senders = senders;
        start("relay-" + port, this::accept);
    }

    void treat(Policy newPolicy) {
        policy = newPolicy;
    }

    /** Returns the number of connections opened so far, which is also the number of the latest. */
    long openedConnections() {
        return opened.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        sockets.forEach(Relay::closeQuietly);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                long number = opened.incrementAndGet();
                start("relay-connection-" + number, () -> serve(from, number));
            } catch (IOException exception) {
                // The relay was closed, or the peer gave up before it was accepted.
            }
        }
    }

    private void serve(Socket from, long number) {
        try (from;
                Socket to = new Socket(InetAddress.getLoopbackAddress(), destination)) {
            sockets.add(from);
            sockets.add(to);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            byte[] first = new byte[BUFFER_BYTES];
            int length = from.getInputStream().read(first);
            if (length <= 0) {
                return;
            }
            Connection connection = new Connection(number, senderOf(first, length));
            if (!forward(connection, Direction.OUT, first, length, to.getOutputStream())) {
                return;
            }
            start("relay-back-" + number, () -> pump(connection, Direction.BACK, to, from));
            pump(connection, Direction.OUT, from, to);
        } catch (IOException exception) {
            // Either side has gone.
        } finally {
            sockets.remove(from);
        }
    }

    private void pump(Connection connection, Direction direction, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            int length = input.read(buffer);
            while (length > 0 && forward(connection, direction, buffer, length, to.getOutputStream())) {
                length = input.read(buffer);
            }
        } catch (IOException exception) {
            // Either side has gone.
        } finally {
            closeQuietly(from);
            closeQuietly(to);
            sockets.remove(to);
        }
    }

    /** Returns false if the connection is to be cut. */
    private boolean forward(Connection connection, Direction direction, byte[] bytes, int length, OutputStream output)
            throws IOException {
        Treatment treatment = policy.of(connection, direction);
        if (treatment.kind() == Kind.CUT) {
            return false;
        }
        if (treatment.kind() == Kind.PASS) {
            LockSupport.parkNanos(treatment.delay().toNanos());
            output.write(bytes, 0, length);
            output.flush();
        }
        return true;
    }

    /** The sender is the first field of an envelope, so the instance that is named first. */
    private String senderOf(byte[] bytes, int length) {
        String text = new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
        String found = "";
        int position = Integer.MAX_VALUE;
        for (String sender : senders) {
            int index = text.indexOf(sender);
            if (index >= 0 && index < position) {
                found = sender;
                position = index;
            }
        }
        return found;
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // It is closed for this side in any case.
        }
    }
}

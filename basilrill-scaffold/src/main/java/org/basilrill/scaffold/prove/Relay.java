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
 * Forwards TCP connections on loopback; can delay or discard the bytes of either direction, or close a connection.
 * Thread safe.
 *
 * <p>The first bytes of a connection between instances contain the name of the sender. The relay reads it, so that the
 * action can depend on the instance that opened the connection.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 128;

    private final ServerSocket listener;
    private final int destination;
    private final List<String> senders;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong opened = new AtomicLong();
    private volatile Policy policy = (connection, direction) -> ForwardingAction.PASS;

    /** Directions of a connection, from the point of view of the side that opened it. */
    enum Direction {
        OUTBOUND,
        INBOUND
    }

    /** What the relay does with the bytes of one direction. */
    record ForwardingAction(Kind kind, Duration delay) {
        static final ForwardingAction PASS = new ForwardingAction(Kind.PASS, Duration.ZERO);
        static final ForwardingAction SWALLOW = new ForwardingAction(Kind.SWALLOW, Duration.ZERO);
        static final ForwardingAction CUT = new ForwardingAction(Kind.CUT, Duration.ZERO);

        static ForwardingAction delayed(Duration delay) {
            return new ForwardingAction(Kind.PASS, delay);
        }
    }

    /** Kinds of actions: forward the bytes, discard them, or close the connection. */
    enum Kind {
        PASS,
        SWALLOW,
        CUT
    }

    /**
     * One connection through the relay.
     *
     * @param number number of the connection in the order of opening, from 1
     * @param sender name of the instance that opened the connection; empty if unknown
     */
    record Connection(long number, String sender) {}

    /** Chooses the action; called for each chunk of bytes. */
    interface Policy {
        ForwardingAction of(Connection connection, Direction direction);
    }

    /**
     * Starts listening on a port and forwarding to the destination port.
     *
     * @param senders names of the instances that may open connections; empty if the protocol has no sender names
     */
    Relay(int port, int destination, List<String> senders) throws IOException {
        this.listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        this.destination = destination;
        this.senders = senders;
        start("relay-" + port, this::accept);
    }

    void setPolicy(Policy newPolicy) {
        policy = newPolicy;
    }

    /** Returns the count of connections opened so far, which is also the number of the latest one. */
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
                // The relay was closed, or the peer closed the connection before it was accepted.
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
            if (!forward(connection, Direction.OUTBOUND, first, length, to.getOutputStream())) {
                return;
            }
            start("relay-back-" + number, () -> forwardAll(connection, Direction.INBOUND, to, from));
            forwardAll(connection, Direction.OUTBOUND, from, to);
        } catch (IOException exception) {
            // Either side has closed the connection.
        } finally {
            sockets.remove(from);
        }
    }

    private void forwardAll(Connection connection, Direction direction, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            int length = input.read(buffer);
            while (length > 0 && forward(connection, direction, buffer, length, to.getOutputStream())) {
                length = input.read(buffer);
            }
        } catch (IOException exception) {
            // Either side has closed the connection.
        } finally {
            closeQuietly(from);
            closeQuietly(to);
            sockets.remove(to);
        }
    }

    /** Forwards or discards the bytes. Returns false if the connection must be closed. */
    private boolean forward(Connection connection, Direction direction, byte[] bytes, int length, OutputStream output)
            throws IOException {
        ForwardingAction action = policy.of(connection, direction);
        if (action.kind() == Kind.CUT) {
            return false;
        }
        if (action.kind() == Kind.PASS) {
            LockSupport.parkNanos(action.delay().toNanos());
            output.write(bytes, 0, length);
            output.flush();
        }
        return true;
    }

    /** Returns the instance named first in the bytes, because the sender is the first field of an envelope. */
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
            // Nothing more can be done; the socket counts as closed.
        }
    }
}

package org.basilrill.scaffold.prove;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.basilrill.scaffold.FreePorts;
import org.basilrill.scaffold.prove.Relay.Direction;
import org.basilrill.scaffold.prove.Relay.ForwardingAction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against link faults that are applied to the wrong connection or direction. */
class RelayTest {
    /** Timeout of a read that must receive no bytes. */
    private static final int SILENCE_MILLIS = 200;

    private ServerSocket destination;
    private Relay relay;
    private int port;

    @BeforeEach
    void listen() throws IOException {
        destination = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        port = FreePorts.find(1).get(0);
        relay = new Relay(port, destination.getLocalPort(), List.of("entry-1", "entry-2"));
    }

    @AfterEach
    void close() throws IOException {
        relay.close();
        destination.close();
    }

    /** Guards against a relay that isolates the wrong instance, so that an isolation scenario would check nothing. */
    @Test
    void identifiesTheSenderByTheFirstInstanceName() throws IOException {
        relay.setPolicy((connection, direction) ->
                connection.sender().equals("entry-2") ? ForwardingAction.CUT : ForwardingAction.PASS);

        assertThat(exchange("from entry-1 about entry-2"), is("response"));
        try (Socket caller = connect("from entry-2 about entry-1")) {
            assertThat(caller.getInputStream().read(), is(-1));
        }
    }

    /** Guards against a discarded direction that the peer notices as a closed connection. */
    @Test
    void aDiscardedDirectionKeepsTheConnectionOpen() throws IOException {
        relay.setPolicy((connection, direction) ->
                direction == Direction.INBOUND ? ForwardingAction.SWALLOW : ForwardingAction.PASS);

        try (Socket caller = connect("request");
                Socket accepted = destination.accept()) {
            assertThat(read(accepted, "request".length()), is("request"));
            accepted.getOutputStream().write('x');
            caller.setSoTimeout(SILENCE_MILLIS);
            assertThrows(
                    SocketTimeoutException.class, () -> caller.getInputStream().read());
        }
    }

    private String exchange(String request) throws IOException {
        try (Socket caller = connect(request);
                Socket accepted = destination.accept()) {
            assertThat(read(accepted, request.length()), is(request));
            accepted.getOutputStream().write("response".getBytes(StandardCharsets.UTF_8));
            return read(caller, "response".length());
        }
    }

    private Socket connect(String request) throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), port);
        caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        return caller;
    }

    private static String read(Socket socket, int length) throws IOException {
        return new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8);
    }
}

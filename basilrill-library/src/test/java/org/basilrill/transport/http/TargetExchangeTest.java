package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.reactor.IOSession;
import org.basilrill.protocol.target.TargetConnector;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests an exchange on a connection in a given state. */
class TargetExchangeTest {
    private static final TargetConnector.Request REQUEST =
            new TargetConnector.Request("GET", "/", List.of(), new byte[0], "request-1");

    /**
     * Guards against a late answer that arrived since the thread of the connection last looked for bytes, and against
     * an attempt that is spent on a connection which the target has closed.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, -1})
    void aRequestIsNotWrittenToAConnectionWithUnreadBytesOrAtItsEnd(int bytesRead) {
        ReplacedConnections owner = new ReplacedConnections();
        UnsentResponse response = new UnsentResponse();
        ConnectionHistory used = new ConnectionHistory(ConnectionPurpose.REQUESTS);
        used.requestBegins(REQUEST);
        produceRequest(response, owner, session(bytesRead), used);
        assertThat(owner.replacements, is(1));
        assertThat(response.failures(), is(List.of()));
    }

    /**
     * Guards against bytes that a target sends on a new connection before it has received any request. A new connection
     * is not replaced, so that such a target does not receive connections without end.
     */
    @Test
    void bytesOnANewConnectionBeforeTheRequestFailTheExchange() {
        ReplacedConnections owner = new ReplacedConnections();
        UnsentResponse response = new UnsentResponse();
        produceRequest(response, owner, session(1), new ConnectionHistory(ConnectionPurpose.REQUESTS));
        assertThat(owner.replacements, is(0));
        assertThat(response.failures(), is(List.of(TargetConnector.FailureKind.CONNECTION_LOST)));
    }

    private static void produceRequest(
            UnsentResponse response, ConnectionOwner owner, IOSession session, ConnectionHistory history) {
        HttpHost host = new HttpHost("http", "127.0.0.1", 1);
        TargetExchange exchange = new TargetExchange(host, REQUEST, response, 1024, ResponseMemory.forHeap(), owner);
        exchange.attach(session, history);
        ConnectionClosedException refused = assertThrows(
                ConnectionClosedException.class,
                () -> exchange.produceRequest(
                        (request, entity, context) -> {
                            throw new AssertionError("the request was written");
                        },
                        HttpCoreContext.create()));
        exchange.failed(refused);
        exchange.releaseResources();
    }

    private static IOSession session(int bytesRead) {
        return (IOSession) Proxy.newProxyInstance(
                IOSession.class.getClassLoader(), new Class<?>[] {IOSession.class}, (proxy, method, arguments) -> {
                    if (!method.getName().equals("read")) {
                        return null;
                    }
                    ((ByteBuffer) arguments[0]).put(new byte[Math.max(0, bytesRead)]);
                    return bytesRead;
                });
    }

    /** Fails if the request may be sent, as it may then count as one that has run. */
    private static final class UnsentResponse extends RelayFixture.Response {
        @Override
        public boolean maySend() {
            throw new AssertionError("the request may be sent");
        }
    }

    /** Counts the exchanges that are sent on another connection. */
    private static final class ReplacedConnections implements ConnectionOwner {
        private int replacements;

        @Override
        public void ended(TargetExchange exchange, IOSession session) {
            // The test has no pool.
        }

        @Override
        public void keep(IOSession session, ConnectionHistory history, Optional<Duration> targetKeepAlive) {
            throw new AssertionError("the connection is kept");
        }

        @Override
        public TargetConnector.Call replace(TargetConnector.Request request, TargetConnector.Listener listener) {
            replacements++;
            return new TargetConnector.Call() {
                @Override
                public void extendWindow(int bytes) {
                    // The exchange on the new connection is not tested.
                }

                @Override
                public void cancel() {
                    // The exchange on the new connection is not tested.
                }
            };
        }
    }
}

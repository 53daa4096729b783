package org.basilrill.protocol.relay;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.path.TargetPaths;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.RunningRequest;
import org.basilrill.protocol.relay.RelayMessages.Instruction;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Carries exchanges with targets for other instances. All decisions about a request stay with the instance that
 * received it; the relay only moves bytes.
 *
 * <p>Invariants: a request without the token of this instance is rejected, and only targets that this instance knows
 * are connected to, so that the relay is no open proxy; an exchange goes to the target over this instance's own path,
 * never to a further relay; the number of exchanges is bounded, so that the callers of this instance keep their share.
 * Thread safe.
 */
public final class RelayService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** With the window of a response, bounds the memory of all exchanges to a tenth of the heap. */
    private static final int MAXIMUM_EXCHANGES = 256;

    private final byte[] token;
    private final TargetDirectory targets;
    private final TargetConnector direct;
    private final TargetPaths paths;
    private final Predicate<TargetAnnouncement> coldTargets;
    private final AtomicInteger exchanges = new AtomicInteger();

    /**
     * Creates a relay.
     *
     * @param token secret that other instances must send
     * @param direct sends requests over this instance's own paths
     * @param coldTargets whether a target is known to be cold, so that each request to it needs a permit
     */
    public RelayService(
            String token,
            TargetDirectory targets,
            TargetConnector direct,
            TargetPaths paths,
            Predicate<TargetAnnouncement> coldTargets) {
        this.coldTargets = coldTargets;
        this.token = token.getBytes(StandardCharsets.UTF_8);
        this.targets = targets;
        this.direct = direct;
        this.paths = paths;
    }

    /** Returns the number of exchanges that are carried at present. */
    public int exchanges() {
        return exchanges.get();
    }

    /** Starts an exchange, or responds that nothing was sent. */
    public RunningRequest start(RequestHead head, byte[] body, CallerStream stream) {
        Optional<Instruction> instruction = RelayMessages.instruction(head).filter(this::hasToken);
        if (instruction.isEmpty()) {
            LOGGER.atWarning().log("%s: it does not carry the token of this relay", LogEvent.RELAY_REQUEST_REJECTED);
            respond(stream, RelayResult.REJECTED, "the token is missing or wrong");
            return new FinishedRequest();
        }
        Optional<TargetAnnouncement> target = targets.target(instruction.get().target());
        if (target.isEmpty()) {
            return notSent(stream, "the relay does not know the target");
        }
        if (paths.isLost(target.get().id())) {
            return notSent(stream, "the relay has lost its own path to the target");
        }
        if (instruction.get().checkOnly()) {
            direct.acceptsConnection(target.get())
                    .thenAccept(accepted -> respond(
                            stream,
                            accepted ? RelayResult.REACHED : RelayResult.UNREACHABLE,
                            accepted ? "" : "the target accepts no connection"));
            return new FinishedRequest();
        }
        if (coldTargets.test(target.get()) && !isPermitted(instruction.get(), target.get())) {
            return notSent(stream, "the target is cold and the request has no permit");
        }
        if (exchanges.incrementAndGet() > MAXIMUM_EXCHANGES) {
            exchanges.decrementAndGet();
            return notSent(stream, "the relay carries " + MAXIMUM_EXCHANGES + " exchanges already");
        }
        RelayedExchange exchange = new RelayedExchange(instruction.get(), stream, exchanges::decrementAndGet);
        exchange.attach(direct.open(
                target.get(),
                RelayMessages.toTarget(head, body, instruction.get().requestId()),
                instruction.get().freshConnection(),
                exchange));
        return exchange;
    }

    /** Responds to a request that was rejected before its body was read. */
    public void reject(String reason, CallerStream stream) {
        notSent(stream, reason);
    }

    /** Returns whether the sender has a permit for this incarnation; it may know an earlier one, which was not cold. */
    private static boolean isPermitted(Instruction instruction, TargetAnnouncement target) {
        return instruction
                .permit()
                .filter(Long.toString(target.incarnation())::equals)
                .isPresent();
    }

    private boolean hasToken(Instruction instruction) {
        return MessageDigest.isEqual(token, instruction.token().getBytes(StandardCharsets.UTF_8));
    }

    private static RunningRequest notSent(CallerStream stream, String detail) {
        respond(stream, RelayResult.NOT_SENT, detail);
        return new FinishedRequest();
    }

    private static void respond(CallerStream stream, RelayResult result, String detail) {
        stream.start(RelayMessages.withoutResponse(result, detail));
        stream.end();
    }

    /** A request whose response has no body, so that it needs no flow control and cannot be cancelled. */
    private static final class FinishedRequest implements RunningRequest {
        @Override
        public void bytesWritten(int bytes) {
            // The response has no body.
        }

        @Override
        public void callerDisconnected() {
            // Nothing runs for the request any more.
        }
    }
}

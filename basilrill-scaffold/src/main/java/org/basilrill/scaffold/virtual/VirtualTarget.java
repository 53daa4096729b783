package org.basilrill.scaffold.virtual;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.instance.TargetConnector;
import org.basilrill.protocol.instance.TargetConnector.Failure;
import org.basilrill.protocol.instance.TargetConnector.Kind;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * A target that notes every execution, and that can be slow, silent, late, cut answers short, crash and leave. Not
 * thread safe.
 */
public final class VirtualTarget {
    private static final Duration ONE_WAY = Duration.ofMillis(1);
    private static final int PARTS = 3;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final TargetId id;
    private final Optional<String> service;
    private final Map<ModelId, TargetAnnouncement.LoadedModel> contents;
    private final List<Execution> executions = new ArrayList<>();
    private Set<Exchange> open = new HashSet<>();
    private Set<Behaviour> behaviours = Set.of();
    private long incarnation = 1;
    private long sequence;
    private boolean up = true;
    private long leavingSince = -1;

    /** Creates a target of a plain service, or of an engine that holds the model. */
    public VirtualTarget(
            VirtualTime time, RandomGenerator random, TargetId id, Optional<String> service, Optional<ModelId> model) {
        this.time = time;
        this.random = random;
        this.id = id;
        this.service = service;
        this.contents = model.map(held -> Map.of(held, new TargetAnnouncement.LoadedModel(1, 1, true)))
                .orElse(Map.of());
    }

    /** How one request in ten is treated; the others are answered after 5 to 50 ms. */
    public enum Behaviour {
        /** Answers after 1 to 3 s. */
        SLOW,
        /** Never answers. */
        SILENT,
        /** Answers after 10 to 14 s, when the instance has given up. */
        LATE,
        /** Ends the connection before or within the answer. */
        CUT,
        /** Answers another request. */
        CROSSED,
        /** Crashes and loses all connections. */
        CRASH
    }

    /**
     * One request that reached the target and ran.
     *
     * @param leavingNanos how long the target had been leaving; negative if it was not
     */
    public record Execution(
            TargetId target, InstanceId sender, String requestId, String body, long nanos, long leavingNanos) {}

    /** Returns the whole answer to a request with the body; it states that all charged tokens were used. */
    public static String answerTo(String body) {
        return "data: {\"total_tokens\":1000000}\n\n" + "data: part of the answer\n\n".repeat(1 + body.length() % 7)
                + "data: " + body + "\n\n";
    }

    /** Sets the faults from now on. */
    public void behave(Set<Behaviour> now) {
        behaviours = now;
    }

    /** Loses all connections and all requests that run. */
    public void crash() {
        up = false;
        Set<Exchange> lost = open;
        open = new HashSet<>();
        lost.forEach(exchange -> exchange.fail(Kind.CONNECTION_LOST));
    }

    /** Starts again under a new incarnation. */
    public void restart() {
        up = true;
        leavingSince = -1;
        incarnation++;
        sequence = 0;
    }

    /** Announces from now on that it wants no new work. */
    public void leave() {
        if (leavingSince < 0) {
            leavingSince = time.nanos();
        }
    }

    public boolean isUp() {
        return up;
    }

    public boolean isLeaving() {
        return leavingSince >= 0;
    }

    public TargetId id() {
        return id;
    }

    public List<Execution> executions() {
        return executions;
    }

    /** Returns the next announcement. */
    public TargetAnnouncement announcement() {
        return new TargetAnnouncement(
                id,
                incarnation,
                ++sequence,
                "127.0.0.1",
                1,
                "north",
                service,
                2000,
                1,
                contents,
                Set.of(),
                64,
                new TargetAnnouncement.Load(0, 0),
                true,
                isLeaving());
    }

    /** Takes a connection from an instance; nothing reaches the instance once it is not alive. */
    TargetConnector.Call open(
            InstanceId sender,
            BooleanSupplier alive,
            TargetConnector.Request request,
            TargetConnector.Listener listener) {
        Exchange exchange = new Exchange(sender, alive, request, listener);
        time.schedule(ONE_WAY, exchange::connected);
        return exchange;
    }

    private boolean happens(Behaviour behaviour) {
        return behaviours.contains(behaviour) && random.nextInt(10) == 0;
    }

    /** One connection that carries one request. */
    private final class Exchange implements TargetConnector.Call {
        private final InstanceId sender;
        private final BooleanSupplier alive;
        private final TargetConnector.Request request;
        private final TargetConnector.Listener listener;
        private boolean closed;

        Exchange(
                InstanceId sender,
                BooleanSupplier alive,
                TargetConnector.Request request,
                TargetConnector.Listener listener) {
            this.sender = sender;
            this.alive = alive;
            this.request = request;
            this.listener = listener;
        }

        @Override
        public void grant(int bytes) {
            // Answers are shorter than the window.
        }

        @Override
        public void cancel() {
            closed = true;
            open.remove(this);
        }

        private void connected() {
            if (closed || !alive.getAsBoolean()) {
                return;
            }
            if (!up) {
                fail(Kind.UNREACHABLE);
            } else if (listener.maySend()) {
                long reached = incarnation;
                time.schedule(ONE_WAY, () -> arrived(reached));
            }
        }

        /** Bytes under way arrive even if the sender has closed the connection meanwhile. */
        private void arrived(long reached) {
            if (!up || incarnation != reached) {
                fail(Kind.CONNECTION_LOST);
                return;
            }
            open.add(this);
            String body = new String(request.body(), StandardCharsets.UTF_8);
            String requestId =
                    HeaderField.first(request.headers(), RequestHead.REQUEST_ID).orElse("");
            long leaving = isLeaving() ? time.nanos() - leavingSince : -1;
            executions.add(new Execution(id, sender, requestId, body, time.nanos(), leaving));
            if (happens(Behaviour.CRASH)) {
                crash();
            } else if (!happens(Behaviour.SILENT)) {
                time.schedule(serviceTime(), () -> answer(requestId, body));
            }
        }

        private Duration serviceTime() {
            if (happens(Behaviour.LATE)) {
                return Duration.ofMillis(10_000 + random.nextInt(4000));
            }
            return happens(Behaviour.SLOW)
                    ? Duration.ofMillis(1000 + random.nextInt(2000))
                    : Duration.ofMillis(5 + random.nextInt(45));
        }

        private void answer(String requestId, String request) {
            boolean cut = happens(Behaviour.CUT);
            boolean crossed = happens(Behaviour.CROSSED);
            String body = answerTo(crossed ? "another" : request);
            String echoed = crossed ? "another" : requestId;
            String type = service.isPresent() ? "text/plain" : AnswerHead.EVENT_STREAM;
            AnswerHead head = new AnswerHead(
                    200,
                    List.of(
                            new HeaderField(AnswerHead.CONTENT_TYPE, type),
                            new HeaderField(RequestHead.REQUEST_ID, echoed)));
            pass(() -> listener.answered(head));
            int parts = cut ? random.nextInt(PARTS) : PARTS;
            send(body, 0, parts);
        }

        private void send(String body, int part, int parts) {
            if (part == parts) {
                if (parts == PARTS) {
                    pass(listener::ended);
                    closed = true;
                } else {
                    fail(Kind.CONNECTION_LOST);
                }
                open.remove(this);
                return;
            }
            String text = body.substring(body.length() * part / PARTS, body.length() * (part + 1) / PARTS);
            pass(() -> listener.received(text.getBytes(StandardCharsets.UTF_8)));
            time.schedule(Duration.ofMillis(1 + random.nextInt(20)), () -> send(body, part + 1, parts));
        }

        private void fail(Kind kind) {
            pass(() -> listener.failed(new Failure(kind, false, "planned by the simulation")));
            closed = true;
        }

        private void pass(Runnable event) {
            if (!closed && alive.getAsBoolean()) {
                event.run();
            }
        }
    }
}

package org.basilrill.scaffold.virtual;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.protocol.target.TargetConnector.Failure;
import org.basilrill.protocol.target.TargetConnector.FailureKind;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Simulates a target. It records every execution, and can respond slowly, late, wrongly, in part or not at all, crash
 * and leave. Not thread safe.
 */
public final class VirtualTarget {
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);
    private static final int RESPONSE_PARTS = 3;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final TargetId id;
    private final Optional<String> service;
    private final Map<ModelId, TargetAnnouncement.LoadedModel> contents;
    private final List<TargetExecution> executions = new ArrayList<>();
    private Set<Exchange> open = new HashSet<>();
    private Set<TargetBehaviour> behaviours = Set.of();
    private String dataCentre = "north";
    private long incarnation = 1;
    private long sequence;
    private boolean up = true;
    private int slots = 64;
    private long leavingSince = -1;
    private OptionalDouble statedRate = OptionalDouble.empty();
    private int responsesPerStatement = 1;
    private int responses;
    private final List<RateStatement> statements = new ArrayList<>();
    private Predicate<String> crashesOn = body -> false;
    private Duration downtime = Duration.ZERO;
    private final List<Long> crashNanos = new ArrayList<>();
    private List<HeaderField> statedFields = List.of();
    private final VirtualRefusals refusals = new VirtualRefusals();
    private Duration runTime = Duration.ZERO;

    /** Creates a target of a plain service, or of an engine on which the model is resident. */
    public VirtualTarget(
            VirtualTime time, RandomGenerator random, TargetId id, Optional<String> service, Optional<ModelId> model) {
        this.time = time;
        this.random = random;
        this.id = id;
        this.service = service;
        this.contents = model.map(
                        residentModel -> Map.of(residentModel, new TargetAnnouncement.LoadedModel(1, 1, true)))
                .orElse(Map.of());
    }

    /** Returns the complete response to a request with the given body; it states that all charged tokens were used. */
    public static String expectedResponse(String body) {
        return "data: {\"total_tokens\":1000000}\n\n" + "data: part of the answer\n\n".repeat(1 + body.length() % 7)
                + "data: " + body + "\n\n";
    }

    /** Sets the requests per second that one in {@code responsesPerStatement} responses states from now on. */
    public void stateRate(OptionalDouble perSecond, int responsesPerStatement) {
        statedRate = perSecond;
        this.responsesPerStatement = responsesPerStatement;
    }

    /** Sets a time by which all requests run longer from now on. */
    public void setRunTime(Duration additional) {
        runTime = additional;
    }

    String dataCentre() {
        return dataCentre;
    }

    /** Sets the data centre that the target announces. */
    public void setDataCentre(String name) {
        dataCentre = name;
    }

    /** Sets the slots that the target announces. */
    public void setSlots(int count) {
        slots = count;
    }

    /** Returns the requests that the target refuses, and how it decides. */
    public VirtualRefusals refusals() {
        return refusals;
    }

    /** Adds header fields to all responses from now on, in place of those added before. */
    public void stateInResponses(HeaderField... fields) {
        statedFields = List.of(fields);
    }

    /** Returns what the responses stated about the request rate, in the order in which they were received. */
    public List<RateStatement> statements() {
        return statements;
    }

    /** Sets the faults that may occur from now on. */
    public void setBehaviours(Set<TargetBehaviour> now) {
        behaviours = now;
    }

    /** Lets the target crash when it begins to respond to such a request; after the downtime it is up again. */
    public void crashOn(Predicate<String> bodies, Duration downtime) {
        crashesOn = bodies;
        this.downtime = downtime;
    }

    /** Returns the times of the crashes that requests caused. */
    public List<Long> crashNanos() {
        return crashNanos;
    }

    /** Stops the target; all connections and running requests are lost. */
    public void crash() {
        up = false;
        Set<Exchange> lost = open;
        open = new HashSet<>();
        lost.forEach(exchange -> exchange.fail(FailureKind.CONNECTION_LOST));
    }

    /** Starts the target again with a new incarnation. */
    public void restart() {
        up = true;
        refusals.forget();
        leavingSince = -1;
        incarnation++;
        sequence = 0;
    }

    /** Announces from now on that the target is leaving and accepts no new requests. */
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

    public List<TargetExecution> executions() {
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
                dataCentre,
                service,
                2000,
                1,
                contents,
                Set.of(),
                slots,
                new TargetAnnouncement.Load(0, 0),
                true,
                isLeaving(),
                Optional.empty(),
                0);
    }

    /** Closes the connections of an instance without a response. */
    void resetConnections(InstanceId instance) {
        List<Exchange> lost = open.stream()
                .filter(exchange -> exchange.sender.equals(instance))
                .toList();
        lost.forEach(exchange -> exchange.endWith(FailureKind.CONNECTION_LOST));
    }

    private void crashIfRefusedTooMany() {
        if (refusals.exceedLimit(time.nanos())) {
            crashNanos.add(time.nanos());
            crash();
            time.schedule(downtime, this::restart);
        }
    }

    /** Opens a connection from an instance; no events are delivered once the process of the instance has ended. */
    TargetConnector.Call open(
            InstanceId sender,
            BooleanSupplier alive,
            TargetConnector.Request request,
            boolean fresh,
            VirtualPaths paths,
            TargetConnector.Listener listener) {
        Exchange exchange = new Exchange(sender, alive, request, paths, listener);
        Optional<VirtualPaths.Mode> cut = paths.cutOf(sender, id);
        if (cut.isEmpty()) {
            time.schedule(ONE_WAY_DELAY, exchange::connected);
        } else if (cut.get() == VirtualPaths.Mode.REFUSE) {
            time.schedule(ONE_WAY_DELAY, () -> exchange.endWith(FailureKind.UNREACHABLE));
        } else if (fresh || cut.get() == VirtualPaths.Mode.RESET || random.nextBoolean()) {
            time.schedule(VirtualPaths.CONNECT_TIMEOUT, () -> exchange.endWith(FailureKind.UNREACHABLE));
        } else {
            // A connection from before the cut takes the request, which is never received.
            time.schedule(ONE_WAY_DELAY, listener::maySend);
        }
        return exchange;
    }

    private boolean occurs(TargetBehaviour behaviour) {
        return behaviours.contains(behaviour) && random.nextInt(10) == 0;
    }

    /** A connection with one request. */
    private final class Exchange implements TargetConnector.Call {
        private final InstanceId sender;
        private final BooleanSupplier alive;
        private final TargetConnector.Request request;
        private final VirtualPaths paths;
        private final TargetConnector.Listener listener;
        private boolean closed;

        Exchange(
                InstanceId sender,
                BooleanSupplier alive,
                TargetConnector.Request request,
                VirtualPaths paths,
                TargetConnector.Listener listener) {
            this.sender = sender;
            this.alive = alive;
            this.request = request;
            this.paths = paths;
            this.listener = listener;
        }

        @Override
        public void extendWindow(int bytes) {
            // Responses are shorter than the flow-control window.
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
                fail(FailureKind.UNREACHABLE);
            } else if (listener.maySend()) {
                long sentToIncarnation = incarnation;
                time.schedule(ONE_WAY_DELAY, () -> requestArrived(sentToIncarnation));
            }
        }

        /** Runs the request even if the sender has closed the connection after sending it. */
        private void requestArrived(long sentToIncarnation) {
            if (!up || incarnation != sentToIncarnation) {
                fail(FailureKind.CONNECTION_LOST);
                return;
            }
            open.add(this);
            String body = new String(request.body(), StandardCharsets.UTF_8);
            String requestId =
                    HeaderField.first(request.headers(), RequestHead.REQUEST_ID).orElse("");
            long leaving = isLeaving() ? time.nanos() - leavingSince : -1;
            TargetExecution arrival = new TargetExecution(id, sender, requestId, body, time.nanos(), leaving);
            Optional<List<HeaderField>> refusal = refusals.refusalOf(arrival, open.size());
            if (refusal.isPresent()) {
                respondWithRefusal(requestId, refusal.get());
                crashIfRefusedTooMany();
                return;
            }
            executions.add(arrival);
            if (occurs(TargetBehaviour.CRASH)) {
                crash();
            } else if (!occurs(TargetBehaviour.UNRESPONSIVE)) {
                time.schedule(serviceTime(), () -> respond(requestId, body));
            }
        }

        private void respondWithRefusal(String requestId, List<HeaderField> fields) {
            List<HeaderField> headers = new ArrayList<>(fields);
            headers.add(new HeaderField(RequestHead.REQUEST_ID, requestId));
            headers.addAll(statedFields);
            open.remove(this);
            time.schedule(
                    ONE_WAY_DELAY,
                    () -> deliver(() -> {
                        listener.headReceived(new ResponseHead(SERVICE_UNAVAILABLE, headers));
                        deliver(listener::responseCompleted);
                        closed = true;
                    }));
        }

        private Duration serviceTime() {
            if (occurs(TargetBehaviour.LATE)) {
                return Duration.ofMillis(10_000 + random.nextInt(4000));
            }
            return occurs(TargetBehaviour.SLOW)
                    ? Duration.ofMillis(1000 + random.nextInt(2000))
                    : runTime.plusMillis(5 + random.nextInt(45));
        }

        private void respond(String requestId, String request) {
            if (open.contains(this) && crashesOn.test(request)) {
                crashNanos.add(time.nanos());
                crash();
                time.schedule(downtime, VirtualTarget.this::restart);
                return;
            }
            boolean incomplete = occurs(TargetBehaviour.CUT);
            boolean wrongResponse = occurs(TargetBehaviour.WRONG_RESPONSE);
            String body = expectedResponse(wrongResponse ? "another" : request);
            String echoed = wrongResponse ? "another" : requestId;
            String type = service.isPresent() ? "text/plain" : ResponseHead.EVENT_STREAM;
            List<HeaderField> headers = new ArrayList<>(List.of(
                    new HeaderField(ResponseHead.CONTENT_TYPE, type), new HeaderField(RequestHead.REQUEST_ID, echoed)));
            OptionalDouble rate = responses++ % responsesPerStatement == 0 ? statedRate : OptionalDouble.empty();
            rate.ifPresent(perSecond ->
                    headers.add(new HeaderField(ResponseHead.REQUEST_RATE_LIMIT, Double.toString(perSecond))));
            headers.addAll(statedFields);
            ResponseHead head = new ResponseHead(200, headers);
            deliver(() -> {
                statements.add(new RateStatement(sender, rate, time.nanos()));
                listener.headReceived(head);
            });
            int parts = incomplete ? random.nextInt(RESPONSE_PARTS) : RESPONSE_PARTS;
            sendPart(body, 0, parts);
        }

        private void sendPart(String body, int part, int parts) {
            if (part == parts) {
                if (parts == RESPONSE_PARTS) {
                    deliver(listener::responseCompleted);
                    closed = true;
                } else {
                    fail(FailureKind.CONNECTION_LOST);
                }
                open.remove(this);
                return;
            }
            String text =
                    body.substring(body.length() * part / RESPONSE_PARTS, body.length() * (part + 1) / RESPONSE_PARTS);
            deliver(() -> listener.bodyReceived(text.getBytes(StandardCharsets.UTF_8)));
            time.schedule(Duration.ofMillis(1 + random.nextInt(20)), () -> sendPart(body, part + 1, parts));
        }

        /** Ends the connection at the instance; a request that was received runs on. */
        private void endWith(FailureKind kind) {
            if (!closed && alive.getAsBoolean()) {
                closed = true;
                open.remove(this);
                listener.failed(new Failure(kind, false, "injected by the simulation"));
            }
        }

        private void fail(FailureKind kind) {
            deliver(() -> listener.failed(new Failure(kind, false, "injected by the simulation")));
            closed = true;
        }

        private void deliver(Runnable event) {
            if (!closed && alive.getAsBoolean() && paths.passes(sender, id)) {
                event.run();
            }
        }
    }
}

package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.protocol.caller.HeaderField;

/** The requests that a simulated target refuses without running them. Not thread safe. */
public final class VirtualRefusals {
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final List<TargetExecution> refused = new ArrayList<>();
    private Optional<List<HeaderField>> fields = Optional.empty();
    private int counted;
    private int room = Integer.MAX_VALUE;
    private int limit = Integer.MAX_VALUE;

    /**
     * Refuses all requests from now on.
     *
     * @param added header fields of the refusals
     */
    public void refuseAll(HeaderField... added) {
        fields = Optional.of(List.of(added));
    }

    /** Refuses requests for want of room only. */
    public void stop() {
        fields = Optional.empty();
    }

    /**
     * Refuses requests beyond a room from now on.
     *
     * @param requests requests that run at once
     * @param refusalsPerSecond most refusals in a second that the target bears
     */
    public void limitRoom(int requests, int refusalsPerSecond) {
        room = requests;
        limit = refusalsPerSecond;
    }

    /** Returns the requests that were refused. */
    public List<TargetExecution> refused() {
        return refused;
    }

    /**
     * Returns the header fields of the refusal; empty if the request runs.
     *
     * @param running requests that run, this one included
     */
    Optional<List<HeaderField>> refusalOf(TargetExecution arrival, int running) {
        Optional<List<HeaderField>> refusal =
                fields.or(() -> running > room ? Optional.of(List.<HeaderField>of()) : Optional.empty());
        refusal.ifPresent(present -> refused.add(arrival));
        return refusal;
    }

    /** Counts the refusals from now on only, as a target does that has started again. */
    void forget() {
        counted = refused.size();
    }

    /** Returns whether the target has refused more requests in the last second than it bears. */
    boolean exceedLimit(long nanos) {
        long since = nanos - WINDOW.toNanos();
        return refused.stream()
                        .skip(counted)
                        .filter(arrival -> arrival.nanos() >= since)
                        .count()
                > limit;
    }
}
